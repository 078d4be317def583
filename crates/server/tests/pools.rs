//! Pools in the real server with stand-ins: a flood of expensive requests, in frames and in SCGI. The cheap requests get their responses
//! in time, all others one final response. The executor stand-in runs requests on two simulated cores.

use cypresscleat_demo::{frame, request_frame, run_cores, Deployment, Gateway, Kernel, Router};
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
const EXPENSIVE: Duration = Duration::from_millis(80);
const FLOOD: usize = 120;

fn start(operator: &str) -> Deployment {
    let place = Deployment::start_with(Path::new(PROGRAM), CONFIG, operator, |all| {
        all["settings"]["customers"] = json!([]);
        all["settings"]["categories"][1]["aim_ns"] = json!(600_000_000);
        all["stop_ms"] = json!(60_000);
    });
    let (mut executor, _) = Kernel::accept(&place.kernel);
    executor.boot("WARM");
    place.logged("kernel up");
    let work = |operation: &str| if operation == "lookup" { CHEAP } else { EXPENSIVE };
    run_cores(executor, 2.0, work, Default::default());
    place
}

/// Whether each expensive request succeeded, and the outcome and duration of each cheap one.
fn flood(place: &Deployment) -> (Vec<bool>, Vec<(bool, Duration)>) {
    let (server, scgi) = (place.server, place.scgi);
    let expensive: Vec<_> = (0..FLOOD)
        .map(|at| {
            thread::spawn(move || match scgi {
                Some(address) => {
                    let response = Gateway::asks(address, "POST", "/report", b"dear").response();
                    let response = response.expect("one final response");
                    assert!([200, 502, 503, 504].contains(&response.status), "{}", response.status);
                    response.status == 200
                }
                None => {
                    let mut router = Router::connect(server);
                    router.0.send(request_frame(1, &format!("{:016x}", 0x1000 + at), "report", b"dear"));
                    let (_, outcome, _) = router.answer();
                    router.0.send(frame(16, 2, &[0]));
                    // The next frame is the response to the health check, so there is no second response to the request.
                    assert_eq!(router.frame().kind, 32);
                    outcome == "succeeded"
                }
            })
        })
        .collect();
    let mut cheap = Vec::new();
    for at in 0..40 {
        let began = Instant::now();
        let is_success = match scgi {
            Some(address) => {
                let response = Gateway::asks(address, "POST", "/lookup", b"cheap").response();
                response.is_some_and(|response| response.status == 200)
            }
            None => {
                let mut router = Router::connect(server);
                router.0.send(request_frame(1, &format!("{:016x}", 0x9000 + at), "lookup", b"cheap"));
                router.answer().1 == "succeeded"
            }
        };
        cheap.push((is_success, began.elapsed()));
        thread::sleep(Duration::from_millis(10));
    }
    (expensive.into_iter().map(|one| one.join().expect("one final response")).collect(), cheap)
}

#[test]
fn a_flood_of_expensive_requests_delays_no_cheap_ones_in_both_protocols() {
    for operator in [POOLS.to_string(), format!("{POOLS}{SCGI}")] {
        let place = start(&operator);
        let (expensive, cheap) = flood(&place);
        assert_eq!(expensive.len(), FLOOD);
        let succeeded = expensive.iter().filter(|succeeded| **succeeded).count();
        assert!(succeeded > 0 && succeeded < FLOOD, "{succeeded} expensive requests succeeded");
        let late: Vec<_> = cheap
            .iter()
            .filter(|(is_success, took)| !is_success || *took > Duration::from_millis(600))
            .collect();
        assert!(late.is_empty(), "{late:?}");
    }
}

/// Pools change while their requests run, and an invalid file changes nothing.
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
                router.0.send(request_frame(1, &format!("{:016x}", 0x1000 + at), "report", b"dear"));
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
        assert!(["succeeded", "throttled"].contains(&one.join().expect("a response")));
    }
    let mut router = Router::connect(server);
    router.0.send(request_frame(1, "00000000000000aa", "lookup", b"after"));
    assert_eq!(router.answer().1, "succeeded");
}
