//! The store behind the server: tokens across lives, billing rows against what callers were told, what was owed at a drain, a
//! store that fails.

use cypresscleat_demo::{scgi_request, Gateway, Kernel, Place};
use cypresscleat_scheduler::RetrySafety;
use cypresscleat_server::config;
use cypresscleat_server::core::incoming::{IncomingRequest, Peer};
use cypresscleat_server::core::persistence::{Persistence, RecoveredState};
use cypresscleat_server::core::{Core, CoreEvent, Shared};
use cypresscleat_server::lines;
use cypresscleat_server::listeners::frames::FrameWriter;
use cypresscleat_server::pool::Outbox;
use cypresscleat_store::disk::DiskDirectory;
use cypresscleat_store::{Store, StoreOptions};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-server");
const CONFIG: &str = include_str!("../../demo/config.json");

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cypresscleat-kept-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn start(folder: &Path) -> Place {
    let operator = format!(
        r#"
        store: folder: "{}"
        scgi: {{
            listen: "127.0.0.1:0", connections: 200
            routes: [
                {{path: "/put", operation: "lookup", token: header: "Idempotency-Key"}},
                {{path: "/report", operation: "report"}},
            ]
        }}
    "#,
        folder.display()
    );
    Place::start_with(Path::new(PROGRAM), CONFIG, &operator, |all| {
        all["settings"]["categories"][1]["effect"] = json!("dedup");
        all["settings"]["categories"][1]["memory_span_ns"] = json!(60_000_000_000u64);
        all["settings"]["customers"] = json!([]);
        all["settings"]["specifics"]["cores"] = json!(8);
        all["settings"]["specifics"]["memory_kb"] = json!(4e5);
        all["stop_ms"] = json!(60_000);
    })
}

fn up(place: &Place) -> Kernel {
    let (mut kernel, _) = Kernel::accept(&place.kernel);
    kernel.boot("WARM");
    place.logged("kernel up");
    kernel
}

fn put(token: &str, body: &str) -> Vec<u8> {
    scgi_request("POST", "/put", &[("HTTP_IDEMPOTENCY_KEY", token)], body.as_bytes())
}

fn ask(place: &Place, bytes: &[u8]) -> (u16, String) {
    let mut gateway = Gateway::connect(place.scgi.expect("a listener"));
    gateway.0.send(bytes);
    let answer = gateway.response().expect("an answer");
    (answer.status, String::from_utf8_lossy(&answer.body).into_owned())
}

fn rows(folder: &Path, from: &str) -> BTreeMap<String, String> {
    let mut store = Store::open(DiskDirectory::open(folder).expect("the folder"), StoreOptions::default())
        .expect("a store");
    let snapshot = store.snapshot();
    let keys: Vec<Vec<u8>> = snapshot.keys(from.as_bytes()).map(<[u8]>::to_vec).collect();
    let own = keys.into_iter().filter(|key| key.starts_with(from.as_bytes()));
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    own.map(|key| (text(key.clone()), text(store.get(&key).expect("to read").unwrap_or_default()))).collect()
}

#[test]
fn a_token_runs_once_and_its_repeats_get_its_answer_also_in_the_next_life() {
    let folder = folder("tokens");
    let place = start(&folder);
    let mut kernel = up(&place);
    let address = place.scgi.expect("a listener");
    let begin = |token: &str, body: &str| {
        let mut gateway = Gateway::connect(address);
        gateway.0.send(put(token, body));
        gateway
    };
    let mut first = begin("one", "a");
    let (msg, call, body) = kernel.hear().expect("a command");
    assert_eq!((msg.as_str(), &body[..]), ("SCHED", &b"a"[..]));
    // A repeat while the first runs waits for its answer; another body under the token is told so.
    let mut second = begin("one", "a");
    assert_eq!(ask(&place, &put("one", "other")).0, 400);
    assert_eq!(
        ask(&place, &scgi_request("POST", "/put", &[], b"a")),
        (400, "no HTTP_IDEMPOTENCY_KEY\n".into())
    );
    kernel.tell("REAP", &call, "OK", b"done");
    for gateway in [&mut first, &mut second] {
        let answer = gateway.response().expect("an answer");
        assert_eq!((answer.status, &answer.body[..]), (200, &b"done"[..]));
    }
    assert_eq!(ask(&place, &put("one", "a")), (200, "done".into()));
    // One that is cut off in its run: nobody knows whether it had its effect.
    let mut cut = begin("two", "b");
    assert_eq!(kernel.hear().expect("a command").2, b"b");
    drop(place);
    assert!(cut.response().is_none());
    let place = start(&folder);
    assert!(place.has_logged("2 tokens, "));
    let mut kernel = up(&place);
    assert_eq!(ask(&place, &put("one", "a")), (200, "done".into()), "known, not run");
    assert_eq!(ask(&place, &put("two", "b")).0, 502, "not run again, and not told to have succeeded");
    let mut new = Gateway::connect(place.scgi.expect("a listener"));
    new.0.send(put("three", "c"));
    let (msg, call, body) = kernel.hear().expect("a command");
    assert_eq!((msg.as_str(), &body[..]), ("SCHED", &b"c"[..]), "nothing else was run");
    kernel.tell("REAP", &call, "OK", b"third");
    assert_eq!(new.response().expect("an answer").status, 200);
    drop(place);
    let rows = rows(&folder, "b/");
    assert_eq!(rows.len(), 2, "{rows:?}");
    assert!(
        rows.values().all(|row| row.starts_with("lookup,,3,") && row.ends_with(",succeeded")),
        "{rows:?}"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

/// Killed in the middle of a flood of tokened invocations with repeats, five lives: no token runs twice, whoever was told of
/// success has its row, no row stands for one that nobody ran, and none stands twice.
#[test]
fn killed_in_a_flood_no_token_runs_twice_and_no_row_is_lost_or_doubled() {
    let folder = folder("flood");
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let told: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    for life in 0..5u64 {
        let place = start(&folder);
        let mut kernel = up(&place);
        let heard = ran.clone();
        let kernel = thread::spawn(move || {
            while let Some((msg, call, body)) = kernel.hear() {
                if msg == "SCHED" {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    heard.lock().expect("the list").push(body.clone());
                    if !kernel.try_tell("REAP", &call, "OK", format!("did {body}").as_bytes()) {
                        return;
                    }
                }
            }
        });
        let address = place.scgi.expect("a listener");
        let callers: Vec<_> = (0..8u64)
            .map(|caller| {
                let told = told.clone();
                thread::spawn(move || {
                    for at in 0..60u64 {
                        // Some are new, some are repeats, of this life and of those before.
                        let number = (caller * 7 + at * 3 + life * 40) % 230;
                        let token = format!("t{number}");
                        let Ok(stream) = std::net::TcpStream::connect(address) else { return };
                        let mut gateway = Gateway(cypresscleat_demo::Link::new(stream));
                        if !gateway.0.try_send(&put(&token, &token)) {
                            return;
                        }
                        if let Some(answer) = gateway.response().filter(|answer| answer.status == 200) {
                            let body = String::from_utf8_lossy(&answer.body).into_owned();
                            told.lock().expect("the map").insert(token, body);
                        }
                    }
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(15 + 12 * life));
        drop(place); // SIGKILL
        callers.into_iter().for_each(|caller| caller.join().expect("its end"));
        kernel.join().expect("its end");
    }
    let place = start(&folder);
    let mut kernel = up(&place);
    let known = told.lock().expect("the map").clone();
    assert!(known.len() > 20, "{} were told of success", known.len());
    for (token, body) in &known {
        assert_eq!(ask(&place, &put(token, token)), (200, body.clone()), "the same answer again");
        assert_eq!(body, &format!("did {token}"));
    }
    assert!(kernel.hear_within(Duration::from_millis(50)).is_none(), "nothing was run for them");
    drop(place);
    let ran = ran.lock().expect("the list").clone();
    assert_eq!(ran.iter().collect::<BTreeSet<_>>().len(), ran.len(), "a token ran twice");
    let rows = rows(&folder, "b/");
    assert!(
        rows.len() >= known.len() && rows.len() <= ran.len(),
        "{} rows, {} told, {} ran",
        rows.len(),
        known.len(),
        ran.len()
    );
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn what_a_drain_cut_off_is_told_to_the_successor() {
    let folder = folder("drain");
    let mut place = start(&folder);
    let mut kernel = up(&place);
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|at| {
            Gateway::asks(place.scgi.expect("a listener"), "POST", "/report", format!("{at}").as_bytes())
        })
        .collect();
    let mut calls = Vec::new();
    for _ in 0..3 {
        calls.push(kernel.hear().expect("a command").1);
    }
    place.signal("TERM");
    place.logged("draining");
    kernel.tell("REAP", &calls[0], "OK", b"in time");
    let answered = gateways.iter_mut().position(|gateway| gateway.0.waiting(Duration::from_millis(200)));
    assert!(answered.is_some(), "one is answered in the drain");
    thread::sleep(Duration::from_millis(100));
    place.signal("KILL");
    place.exit();
    drop(place);
    let mut place = start(&folder);
    assert!(place.has_logged("2 invocations cut off"));
    assert!(place.has_logged(" report,,"));
    let mut kernel = up(&place);
    place.signal("TERM");
    assert!(place.exit().success());
    assert!(kernel.hear().is_none());
    let place = start(&folder);
    assert!(place.has_logged("0 invocations cut off"), "told once");
    let _ = std::fs::remove_dir_all(&folder);
}

/// A store in use, or a damaged one, is no store to start with.
#[test]
fn a_store_that_is_in_use_ends_the_start() {
    let folder = folder("two");
    let place = start(&folder);
    let second = std::panic::catch_unwind(|| start(&folder));
    assert!(second.is_err(), "it never listens");
    drop(place);
    drop(start(&folder));
    let _ = std::fs::remove_dir_all(&folder);
}

/// An answer leaves behind the word of its row; a store that fails is served round, or nothing is taken, as configured.
#[test]
fn a_failing_store_is_served_round_or_nothing_is_taken() {
    for refuse in [false, true] {
        let config = config::parse(CONFIG, None, None).expect("the example");
        let shared = Shared::new(1000);
        let mut core = Core::new(config.settings, Rc::new(config.names), &shared);
        let (to, jobs) = std::sync::mpsc::sync_channel(16);
        core.set_persistence(Persistence::new(to, true, refuse, RecoveredState::default()).0);
        let kernel = Rc::new(Outbox::new(&shared.pool));
        let mut now = 0;
        let mut take = |core: &mut Core, note| {
            now += 10;
            core.handle_event(now, 17_000_000_000_000 + now, note);
        };
        let notice = |text: &str| {
            CoreEvent::ExecutorNotice(lines::parse_notice(text.as_bytes(), &shared.pool).1.expect("a notice"))
        };
        take(&mut core, notice(r#"{"msg":"BOOTED","how":"WARM","duration":60000}"#));
        take(&mut core, CoreEvent::ExecutorConnected(kernel.clone()));
        let peer = Rc::new(Peer::new(&shared.pool, Rc::new(FrameWriter), 0));
        let arrive = |stream: u32| {
            peer.queued_requests.set(peer.queued_requests.get() + 1);
            let request_id = format!("{stream:016x}").into_bytes().try_into().expect("16 digits");
            let (bytes, arrived_at) = (shared.pool.take(), 17_000_000_000_000);
            let request = IncomingRequest {
                request_id,
                class: 1,
                tenant: None,
                arrived_at,
                remaining_timeout: None,
                client_priority: 0.0,
                expected_work: None,
                memory_kb: 10.0,
                has_item: false,
                idempotency_key: None,
                subject: None,
                is_frame_payload: true,
                bytes,
                body: 0..0,
            };
            CoreEvent::RequestArrived { peer: peer.clone(), stream, request: Ok(request) }
        };
        let reap = |serial: u32| {
            notice(&format!(
                r#"{{"msg":"REAP","serial":{serial},"call":"{serial:016x}","how":"OK","duration":1,"blob":""}}"#
            ))
        };
        let code = |peer: &Peer| {
            let mut bytes = Vec::new();
            let written = peer.outbox.flush(|part| {
                bytes.extend(part);
                Ok(part.len())
            });
            written.expect("a vector takes all");
            bytes.get(9).copied()
        };
        take(&mut core, arrive(1));
        take(&mut core, reap(1));
        assert_eq!((code(&peer), core.pending_responses()), (None, 1), "it waits for its row");
        assert!(!peer.is_idle());
        let job = jobs.try_recv().expect("a job");
        assert_eq!(job.writes.len(), 1);
        take(&mut core, CoreEvent::Persisted { acknowledged_through: job.number, failure: None });
        assert_eq!((code(&peer), core.pending_responses()), (Some(79), 0));
        // Now it fails.
        take(&mut core, arrive(2));
        take(&mut core, reap(2));
        let job = jobs.try_recv().expect("a job");
        take(
            &mut core,
            CoreEvent::Persisted { acknowledged_through: job.number, failure: Some("no space".into()) },
        );
        assert_eq!(code(&peer), Some(if refuse { 69 } else { 79 }));
        take(&mut core, arrive(3));
        assert_eq!(code(&peer), refuse.then_some(66), "nothing is taken that could not be recorded");
        // Guards against counters that do not add up: what is rejected before it is admitted counts as well.
        assert_eq!(shared.counters.invocations.get(), 3, "refuse: {refuse}");
        // And keeps again.
        if !refuse {
            take(&mut core, reap(3));
            let job = jobs.try_recv().expect("a job");
            take(&mut core, CoreEvent::Persisted { acknowledged_through: job.number, failure: None });
            assert_eq!(code(&peer), Some(79));
        }
        assert_eq!(core.pending_responses(), 0);
    }
    assert_ne!(RetrySafety::IdempotencyKey, RetrySafety::Idempotent);
}

mod hours {
    use cypresscleat_server::hourly_usage::{HourTotals, HourlyUsage};
    use cypresscleat_store::simulation::SimulatedDisk;
    use cypresscleat_store::Store;
    use proptest::prelude::*;

    const SPAN: u64 = 100;

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(200))]
        /// Whatever the rows' times, and wherever it is opened again: each row counts in one hour, a closed hour never changes.
        #[test]
        fn each_row_counts_once(steps in proptest::collection::vec((0u64..4, 0u64..260, 0u64..5000), 1..80)) {
            let mut store = Store::open(SimulatedDisk::default(), Default::default()).expect("a store");
            let mut hours = HourlyUsage::load(&mut store, SPAN).expect("sums");
            let (mut now, mut count, mut all) = (1_000u64, 0u64, HourTotals::default());
            let mut told = std::collections::BTreeMap::new();
            for (what, by, milli) in steps {
                match what {
                    0 => now += by,
                    1 => {
                        store.commit(true).expect("a disk");
                        let closed = hours.close_hours_before_time(now);
                        for (key, value) in closed {
                            store.put(&key, &value).expect("room");
                        }
                        store.commit(true).expect("a disk");
                        hours = HourlyUsage::load(&mut store, SPAN).expect("sums");
                        for (key, value) in hours.closed_hour_writes() {
                            store.put(&key, &value).expect("room");
                        }
                    }
                    _ => {
                        // Some rows come late, by up to two hours.
                        let at = if what == 2 { now } else { now.saturating_sub(by) };
                        count += 1;
                        let key = format!("b/{at:016}/{count:016}").into_bytes();
                        let value = format!("op,,{},0,0,succeeded", milli as f64 / 1000.0).into_bytes();
                        for (key, value) in hours.record_row(&key, &value) {
                            store.put(&key, &value).expect("room");
                        }
                        store.put(&key, &value).expect("room");
                        (all.rows, all.billed_milli) = (all.rows + 1, all.billed_milli + milli);
                    }
                }
                for (hour, sum) in &hours.closed {
                    let before = told.insert(*hour, *sum);
                    prop_assert!(before.is_none_or(|before| before == *sum), "hour {hour}: {before:?}, then {sum:?}");
                }
            }
            store.commit(true).expect("a disk");
            let mut hours = HourlyUsage::load(&mut store, SPAN).expect("sums");
            hours.close_hours_before(now / SPAN + 10);
            for (hour, sum) in &hours.closed {
                let before = told.insert(*hour, *sum);
                prop_assert!(before.is_none_or(|before| before == *sum), "hour {hour}: {before:?}, then {sum:?}");
            }
            let sum = told.values().fold((0, 0), |sum, one| (sum.0 + one.rows, sum.1 + one.billed_milli));
            prop_assert_eq!(sum, (all.rows, all.billed_milli));
        }
    }
}
