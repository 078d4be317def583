//! The store of the server: idempotency keys across restarts, billing rows compared with the responses that clients received, requests
//! cut off by a drain, and a failing store.

use cypresscleat_demo::{scgi_request, Deployment, Gateway, Kernel};
use cypresscleat_scheduler::RetrySafety;
use cypresscleat_server::clock::{Clock, MS};
use cypresscleat_server::config;
use cypresscleat_server::core::incoming::{IncomingRequest, Peer};
use cypresscleat_server::core::persistence::{Persistence, RecoveredState, WriteBatch};
use cypresscleat_server::core::{Core, CoreEvent, Shared};
use cypresscleat_server::leases::reconcile;
use cypresscleat_server::lines;
use cypresscleat_server::listeners::frames::FrameWriter;
use cypresscleat_server::pool::Outbox;
use cypresscleat_server::store_thread::{self, Durability};
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

fn start(folder: &Path) -> Deployment {
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
    Deployment::start_with(Path::new(PROGRAM), CONFIG, &operator, |all| {
        all["settings"]["categories"][1]["effect"] = json!("dedup");
        all["settings"]["categories"][1]["memory_span_ns"] = json!(60_000_000_000u64);
        all["settings"]["customers"] = json!([]);
        all["settings"]["specifics"]["cores"] = json!(8);
        all["settings"]["specifics"]["memory_kb"] = json!(4e5);
        all["stop_ms"] = json!(60_000);
    })
}

fn start_executor(place: &Deployment) -> Kernel {
    let (mut executor, _) = Kernel::accept(&place.kernel);
    executor.boot("WARM");
    place.logged("kernel up");
    executor
}

fn put_request(key: &str, body: &str) -> Vec<u8> {
    scgi_request("POST", "/put", &[("HTTP_IDEMPOTENCY_KEY", key)], body.as_bytes())
}

fn send_request(place: &Deployment, bytes: &[u8]) -> (u16, String) {
    let mut gateway = Gateway::connect(place.scgi.expect("a listener"));
    gateway.0.send(bytes);
    let response = gateway.response().expect("a response");
    (response.status, String::from_utf8_lossy(&response.body).into_owned())
}

fn read_rows(folder: &Path, from: &str) -> BTreeMap<String, String> {
    let mut store = Store::open(DiskDirectory::open(folder).expect("the folder"), StoreOptions::default())
        .expect("a store");
    let snapshot = store.snapshot();
    let keys: Vec<Vec<u8>> = snapshot.keys(from.as_bytes()).map(<[u8]>::to_vec).collect();
    let own = keys.into_iter().filter(|key| key.starts_with(from.as_bytes()));
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    own.map(|key| (text(key.clone()), text(store.get(&key).expect("to read").unwrap_or_default()))).collect()
}

#[test]
fn a_request_with_an_idempotency_key_runs_once_and_its_retries_get_its_response_after_a_restart() {
    let folder = folder("tokens");
    let place = start(&folder);
    let mut executor = start_executor(&place);
    let address = place.scgi.expect("a listener");
    let start_request = |key: &str, body: &str| {
        let mut gateway = Gateway::connect(address);
        gateway.0.send(put_request(key, body));
        gateway
    };
    let mut first = start_request("one", "a");
    let (msg, call, body) = executor.receive().expect("a command");
    assert_eq!((msg.as_str(), &body[..]), ("SCHED", &b"a"[..]));
    // A retry while the first attempt runs waits for its response; another body under the same key is an error.
    let mut second = start_request("one", "a");
    assert_eq!(send_request(&place, &put_request("one", "other")).0, 400);
    assert_eq!(
        send_request(&place, &scgi_request("POST", "/put", &[], b"a")),
        (400, "no HTTP_IDEMPOTENCY_KEY\n".into())
    );
    executor.send_notice("REAP", &call, "OK", b"done");
    for gateway in [&mut first, &mut second] {
        let response = gateway.response().expect("a response");
        assert_eq!((response.status, &response.body[..]), (200, &b"done"[..]));
    }
    assert_eq!(send_request(&place, &put_request("one", "a")), (200, "done".into()));
    // A request whose run is cut off by a kill: its effect is unknown.
    let mut interrupted = start_request("two", "b");
    assert_eq!(executor.receive().expect("a command").2, b"b");
    drop(place);
    assert!(interrupted.response().is_none());
    let place = start(&folder);
    assert!(place.has_logged("2 tokens, "));
    let mut executor = start_executor(&place);
    assert_eq!(
        send_request(&place, &put_request("one", "a")),
        (200, "done".into()),
        "the stored response is returned without a run"
    );
    assert_eq!(
        send_request(&place, &put_request("two", "b")).0,
        502,
        "the request is not run again and does not succeed"
    );
    let mut third = Gateway::connect(place.scgi.expect("a listener"));
    third.0.send(put_request("three", "c"));
    let (msg, call, body) = executor.receive().expect("a command");
    assert_eq!((msg.as_str(), &body[..]), ("SCHED", &b"c"[..]), "no other request was run");
    executor.send_notice("REAP", &call, "OK", b"third");
    assert_eq!(third.response().expect("a response").status, 200);
    drop(place);
    let rows = read_rows(&folder, "b/");
    assert_eq!(rows.len(), 2, "{rows:?}");
    assert!(
        rows.values().all(|row| row.starts_with("lookup,,3,") && row.ends_with(",succeeded")),
        "{rows:?}"
    );
    let _ = std::fs::remove_dir_all(&folder);
}

/// The server is killed five times under load with idempotency keys and retries. Guards against a key that runs twice, a success
/// response without its billing row, and a row without a run or stored twice.
#[test]
fn kills_under_load_run_no_idempotency_key_twice_and_lose_or_duplicate_no_row() {
    let folder = folder("flood");
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let successes: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    for incarnation in 0..5u64 {
        let place = start(&folder);
        let mut executor = start_executor(&place);
        let executed = ran.clone();
        let executor = thread::spawn(move || {
            while let Some((msg, call, body)) = executor.receive() {
                if msg == "SCHED" {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    executed.lock().expect("the list").push(body.clone());
                    if !executor.try_send_notice("REAP", &call, "OK", format!("did {body}").as_bytes()) {
                        return;
                    }
                }
            }
        });
        let address = place.scgi.expect("a listener");
        let clients: Vec<_> = (0..8u64)
            .map(|client| {
                let successes = successes.clone();
                thread::spawn(move || {
                    for at in 0..60u64 {
                        // Some keys are new, some are retries of this incarnation or of earlier ones.
                        let number = (client * 7 + at * 3 + incarnation * 40) % 230;
                        let key = format!("t{number}");
                        let Ok(stream) = std::net::TcpStream::connect(address) else { return };
                        let mut gateway = Gateway(cypresscleat_demo::Link::new(stream));
                        if !gateway.0.try_send(&put_request(&key, &key)) {
                            return;
                        }
                        if let Some(response) = gateway.response().filter(|response| response.status == 200) {
                            let body = String::from_utf8_lossy(&response.body).into_owned();
                            successes.lock().expect("the map").insert(key, body);
                        }
                    }
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(15 + 12 * incarnation));
        drop(place); // SIGKILL
        clients.into_iter().for_each(|client| client.join().expect("the thread panicked"));
        executor.join().expect("the thread panicked");
    }
    let place = start(&folder);
    let mut executor = start_executor(&place);
    let succeeded = successes.lock().expect("the map").clone();
    assert!(succeeded.len() > 20, "{} requests succeeded", succeeded.len());
    for (key, body) in &succeeded {
        assert_eq!(send_request(&place, &put_request(key, key)), (200, body.clone()), "the stored response");
        assert_eq!(body, &format!("did {key}"));
    }
    assert!(
        executor.receive_within(Duration::from_millis(50)).is_none(),
        "no completed request is run again"
    );
    drop(place);
    let ran = ran.lock().expect("the list").clone();
    assert_eq!(ran.iter().collect::<BTreeSet<_>>().len(), ran.len(), "an idempotency key ran twice");
    let rows = read_rows(&folder, "b/");
    assert!(
        rows.len() >= succeeded.len() && rows.len() <= ran.len(),
        "{} rows, {} succeeded, {} ran",
        rows.len(),
        succeeded.len(),
        ran.len()
    );
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn requests_cut_off_by_a_drain_are_logged_by_the_next_incarnation() {
    let folder = folder("drain");
    let mut place = start(&folder);
    let mut executor = start_executor(&place);
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|at| {
            Gateway::asks(place.scgi.expect("a listener"), "POST", "/report", format!("{at}").as_bytes())
        })
        .collect();
    let mut calls = Vec::new();
    for _ in 0..3 {
        calls.push(executor.receive().expect("a command").1);
    }
    place.signal("TERM");
    place.logged("draining");
    executor.send_notice("REAP", &calls[0], "OK", b"in time");
    let answered = gateways.iter_mut().position(|gateway| gateway.0.waiting(Duration::from_millis(200)));
    assert!(answered.is_some(), "one request is answered in the drain");
    thread::sleep(Duration::from_millis(100));
    place.signal("KILL");
    place.exit();
    drop(place);
    let mut place = start(&folder);
    assert!(place.has_logged("2 invocations cut off"));
    assert!(place.has_logged(" report,,"));
    let mut executor = start_executor(&place);
    place.signal("TERM");
    assert!(place.exit().success());
    assert!(executor.receive().is_none());
    let place = start(&folder);
    assert!(place.has_logged("0 invocations cut off"), "cut-off requests are logged once");
    let _ = std::fs::remove_dir_all(&folder);
}

/// The server does not start with a store that another process uses.
#[test]
fn a_server_does_not_start_with_a_store_in_use() {
    let folder = folder("two");
    let place = start(&folder);
    let second = std::panic::catch_unwind(|| start(&folder));
    assert!(second.is_err(), "the second server started");
    drop(place);
    drop(start(&folder));
    let _ = std::fs::remove_dir_all(&folder);
}

/// A response is sent only after its row is persisted. With a failing store the server serves without persistence or rejects all
/// requests, as configured.
#[test]
fn with_a_failing_store_the_server_serves_unrecorded_or_rejects_as_configured() {
    for refuse in [false, true] {
        let config = config::parse(CONFIG, None, None).expect("the example");
        let shared = Shared::new(1000);
        let mut core = Core::new(config.settings, Rc::new(config.names), &shared);
        let (to, jobs) = std::sync::mpsc::sync_channel(16);
        core.set_persistence(Persistence::new(to, true, refuse, RecoveredState::default()).0);
        let executor_outbox = Rc::new(Outbox::new(&shared.pool));
        let mut now = 0;
        let mut handle = |core: &mut Core, event| {
            now += 10;
            core.handle_event(now, 17_000_000_000_000 + now, event);
        };
        let notice = |text: &str| {
            CoreEvent::ExecutorNotice(lines::parse_notice(text.as_bytes(), &shared.pool).1.expect("a notice"))
        };
        handle(&mut core, notice(r#"{"msg":"BOOTED","how":"WARM","duration":60000}"#));
        handle(&mut core, CoreEvent::ExecutorConnected(executor_outbox.clone()));
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
            written.expect("a vector accepts all bytes");
            bytes.get(9).copied()
        };
        handle(&mut core, arrive(1));
        handle(&mut core, reap(1));
        assert_eq!((code(&peer), core.pending_responses()), (None, 1), "the response waits for its row");
        assert!(!peer.is_idle());
        let job = jobs.try_recv().expect("a job");
        assert_eq!(job.writes.len(), 1);
        handle(&mut core, CoreEvent::Persisted { acknowledged_through: job.number, failure: None });
        assert_eq!((code(&peer), core.pending_responses()), (Some(79), 0));
        // The next write fails.
        handle(&mut core, arrive(2));
        handle(&mut core, reap(2));
        let job = jobs.try_recv().expect("a job");
        handle(
            &mut core,
            CoreEvent::Persisted { acknowledged_through: job.number, failure: Some("no space".into()) },
        );
        assert_eq!(code(&peer), Some(if refuse { 69 } else { 79 }));
        handle(&mut core, arrive(3));
        assert_eq!(code(&peer), refuse.then_some(66), "no request is admitted that could not be recorded");
        // Guards against counters that do not add up: what is rejected before it is admitted counts as well.
        assert_eq!(shared.counters.invocations.get(), 3, "refuse: {refuse}");
        // The store recovers.
        if !refuse {
            handle(&mut core, reap(3));
            let job = jobs.try_recv().expect("a job");
            handle(&mut core, CoreEvent::Persisted { acknowledged_through: job.number, failure: None });
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
        /// For any row times and any reopening of the store: each row counts in one hour, and a closed hour never changes.
        #[test]
        fn each_row_counts_once(steps in proptest::collection::vec((0u64..4, 0u64..260, 0u64..5000), 1..80)) {
            let mut store = Store::open(SimulatedDisk::default(), Default::default()).expect("a store");
            let mut hours = HourlyUsage::load(&mut store, SPAN).expect("sums");
            let (mut now, mut count, mut all) = (1_000u64, 0u64, HourTotals::default());
            let mut reported = std::collections::BTreeMap::new();
            for (what, by, milli) in steps {
                match what {
                    0 => now += by,
                    1 => {
                        store.commit(true).expect("a working disk");
                        let closed = hours.close_hours_before_time(now);
                        for (key, value) in closed {
                            store.put(&key, &value).expect("a write");
                        }
                        store.commit(true).expect("a working disk");
                        hours = HourlyUsage::load(&mut store, SPAN).expect("sums");
                        for (key, value) in hours.closed_hour_writes() {
                            store.put(&key, &value).expect("a write");
                        }
                    }
                    _ => {
                        // Some rows are late, by up to two hours.
                        let at = if what == 2 { now } else { now.saturating_sub(by) };
                        count += 1;
                        let key = format!("b/{at:016}/{count:016}").into_bytes();
                        let value = format!("op,,{},0,0,succeeded", milli as f64 / 1000.0).into_bytes();
                        for (key, value) in hours.record_row(&key, &value) {
                            store.put(&key, &value).expect("a write");
                        }
                        store.put(&key, &value).expect("a write");
                        (all.rows, all.billed_milli) = (all.rows + 1, all.billed_milli + milli);
                    }
                }
                for (hour, sum) in &hours.closed {
                    let before = reported.insert(*hour, *sum);
                    prop_assert!(before.is_none_or(|before| before == *sum), "hour {hour}: {before:?}, then {sum:?}");
                }
            }
            store.commit(true).expect("a working disk");
            let mut hours = HourlyUsage::load(&mut store, SPAN).expect("sums");
            hours.close_hours_before(now / SPAN + 10);
            for (hour, sum) in &hours.closed {
                let before = reported.insert(*hour, *sum);
                prop_assert!(before.is_none_or(|before| before == *sum), "hour {hour}: {before:?}, then {sum:?}");
            }
            let sum = reported.values().fold((0, 0), |sum, one| (sum.0 + one.rows, sum.1 + one.billed_milli));
            prop_assert_eq!(sum, (all.rows, all.billed_milli));
        }
    }
}

/// Guards against responses that wait for the whole time of a group commit, past the time at which they must be sent: a batch that names
/// an earlier time is committed by then, also where it only brings forward the commit of those before it.
#[test]
fn a_group_is_committed_by_the_time_that_a_batch_names() {
    let (group_time, needed_after) = (Duration::from_secs(20), 100 * MS);
    for brings_forward in [false, true] {
        let folder = folder(if brings_forward { "forward" } else { "by" });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let elapsed = tokio::task::LocalSet::new().block_on(&runtime, async {
            let (events_sender, mut events) = tokio::sync::mpsc::channel(16);
            let clock = Clock::start();
            let durability = Durability::Group(group_time);
            let started = store_thread::start(&folder, durability, 1 << 20, None, clock, events_sender);
            let (batches, _, thread) = started.expect("a store");
            let begin = clock.now();
            let commit_by = Some(begin + needed_after);
            let writes = vec![(b"b/1".to_vec(), Some(b"row".to_vec()))];
            let first = WriteBatch { number: 1, writes, commit_by: commit_by.filter(|_| !brings_forward) };
            batches.send(first).expect("capacity");
            if brings_forward {
                batches.send(WriteBatch { number: 2, writes: Vec::new(), commit_by }).expect("capacity");
            }
            let last = 1 + u64::from(brings_forward);
            match events.recv().await {
                Some(CoreEvent::Persisted { acknowledged_through, failure: None }) => {
                    assert_eq!(acknowledged_through, last)
                }
                _ => panic!("no commit"),
            }
            let elapsed = clock.now() - begin;
            drop(batches);
            store_thread::join(Some(thread)).await;
            elapsed
        });
        // Half of the group's time is generous for a disk that stands still.
        assert!(elapsed >= needed_after && elapsed < 10_000 * MS, "committed after {} ms", elapsed / MS);
        let _ = std::fs::remove_dir_all(&folder);
    }
}

/// Guards the report of what is unresolved: a run that has succeeded is none of it, also where its result does not fit into memory.
#[test]
fn a_run_whose_result_does_not_fit_into_memory_is_not_reported_as_begun() {
    let folder = folder("large-results");
    {
        let disk = DiskDirectory::open(&folder).expect("the folder");
        let mut store = Store::open(disk, StoreOptions::default()).expect("a store");
        let record = |tag: u8, result: &[u8]| {
            [&7u64.to_le_bytes()[..], &i64::MAX.to_le_bytes(), &[tag], result].concat()
        };
        // Five results of a million bytes are more than are held in memory.
        for number in 0..5 {
            store.put(format!("t/done{number}").as_bytes(), &record(1, &[65; 1_000_000])).expect("a write");
        }
        store.put(b"t/unknown", &record(0, b"")).expect("a write");
        store.commit(true).expect("a commit");
    }
    let rows =
        reconcile::unresolved_rows(&folder, Arc::default()).expect("to read").expect("nobody has the store");
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["t/unknown"]);
    let _ = std::fs::remove_dir_all(&folder);
}
