//! Pools through the real server: a flood of the costly against stand-ins, in frames and in SCGI. The cheap ones are answered
//! in time, all others with one final answer. The kernel stand-in runs what it is asked to on two cores of its own.

use cypresscleat_demo::{frame, invocation, run_cores, Gateway, Kernel, Place, Router};
use serde_json::json;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");
const POOLS: &str = r#"
    pools: pools: {
        cheap: {operations: ["lookup"], least: 0.5, reserve: 0.5}
        dear: {operations: ["report"], least: 0.25}
    }
"#;
const SCGI: &str = r#"
    scgi: {
        listen: "127.0.0.1:0"
        connections: 200
        routes: [
            {path: "/lookup", operation: "lookup", hint: default: 4ms},
            {path: "/report", operation: "report", hint: default: 80ms},
        ]
    }
"#;
const CHEAP: Duration = Duration::from_millis(4);
const DEAR: Duration = Duration::from_millis(80);
const FLOOD: usize = 120;

fn start(operator: &str) -> Place {
    let place = Place::start_with(Path::new(PROGRAM), CONFIG, operator, |all| {
        all["settings"]["customers"] = json!([]);
        all["settings"]["categories"][1]["aim_ns"] = json!(600_000_000);
        all["stop_ms"] = json!(60_000);
    });
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    kernel.boot("WARM");
    place.logged("kernel up");
    let work = |operation: &str| if operation == "lookup" { CHEAP } else { DEAR };
    run_cores(kernel, 2.0, work, Default::default());
    place
}

/// How each of the flood was answered, and how long each cheap one took.
fn flood(place: &Place) -> (Vec<bool>, Vec<(bool, Duration)>) {
    let (server, scgi) = (place.server, place.scgi);
    let dear: Vec<_> = (0..FLOOD)
        .map(|at| {
            thread::spawn(move || match scgi {
                Some(address) => {
                    let answer = Gateway::asks(address, "POST", "/report", b"dear").response();
                    let answer = answer.expect("one final answer");
                    assert!([200, 502, 503, 504].contains(&answer.status), "{}", answer.status);
                    answer.status == 200
                }
                None => {
                    let mut router = Router::connect(server);
                    router.0.send(invocation(1, &format!("{:016x}", 0x1000 + at), "report", b"dear"));
                    let (_, how, _) = router.answer();
                    router.0.send(frame(16, 2, &[0]));
                    // The next that comes is the check's: no second answer.
                    assert_eq!(router.frame().kind, 32);
                    how == "succeeded"
                }
            })
        })
        .collect();
    let mut cheap = Vec::new();
    for at in 0..40 {
        let began = Instant::now();
        let good = match scgi {
            Some(address) => {
                let answer = Gateway::asks(address, "POST", "/lookup", b"cheap").response();
                answer.is_some_and(|answer| answer.status == 200)
            }
            None => {
                let mut router = Router::connect(server);
                router.0.send(invocation(1, &format!("{:016x}", 0x9000 + at), "lookup", b"cheap"));
                router.answer().1 == "succeeded"
            }
        };
        cheap.push((good, began.elapsed()));
        thread::sleep(Duration::from_millis(10));
    }
    (dear.into_iter().map(|one| one.join().expect("one final answer")).collect(), cheap)
}

#[test]
fn a_flood_of_the_dear_leaves_the_cheap_their_time_in_both_protocols() {
    for operator in [POOLS.to_string(), format!("{POOLS}{SCGI}")] {
        let place = start(&operator);
        let (dear, cheap) = flood(&place);
        assert_eq!(dear.len(), FLOOD);
        let served = dear.iter().filter(|served| **served).count();
        assert!(served > 0 && served < FLOOD, "{served} of the flood were served");
        let late: Vec<_> =
            cheap.iter().filter(|(good, took)| !good || *took > Duration::from_millis(600)).collect();
        assert!(late.is_empty(), "{late:?}");
    }
}

/// Pools change while their work goes on, and a faulty file changes nothing.
#[test]
fn pools_follow_the_operators_file() {
    let place = start(POOLS);
    place.operates("pools: pools: {a: {operations: [\"lookup\"], least: 0.7}, b: {operations: [\"report\"], least: 0.7}}");
    let line = place.logged("not taken over");
    assert!(line.contains("1:15: pools.pools: the parts called least sum to 1.40, past 1"), "{line}");
    place.operates("pools: pools: a: {operations: [\"dance\"]}");
    assert!(place.logged("not taken over").contains("no operation \"dance\""));
    let server = place.server;
    let busy: Vec<_> = (0..8)
        .map(|at| {
            thread::spawn(move || {
                let mut router = Router::connect(server);
                router.0.send(invocation(1, &format!("{:016x}", 0x1000 + at), "report", b"dear"));
                router.answer().1
            })
        })
        .collect();
    place
        .operates("pools: {limiter: \"aimd\", pools: all: {operations: [\"lookup\", \"report\"], least: 1}}");
    assert!(place.logged("pools: ").contains("all "));
    place.operates("");
    place.logged("operator's file read again");
    for one in busy {
        assert!(["succeeded", "throttled"].contains(&one.join().expect("an answer")));
    }
    let mut router = Router::connect(server);
    router.0.send(invocation(1, "00000000000000aa", "lookup", b"after"));
    assert_eq!(router.answer().1, "succeeded");
}
