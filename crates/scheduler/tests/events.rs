//! Tests the log texts of scheduler events, which operators search for.

use cypresscleat_scheduler::SchedulerEvent;

#[test]
fn events_format_as_log_texts() {
    let shedding = |shedding| SchedulerEvent::SheddingChanged {
        shedding,
        queued: 12,
        running: 3,
        limit: 4.25,
        pace: 1.0,
        queue_wait: 1_234.0,
    };
    let calls =
        |slow| SchedulerEvent::CallLatencyChanged { slow, mean_call_time: 5_004.0, in_flight: 7, waiting: 2 };
    let cases = [
        (shedding(true), "shedding: held 12 running 3 cap 4.2 pace 1.00 wait 123 ms"),
        (shedding(false), "not shedding: held 12 running 3 cap 4.2 pace 1.00 wait 123 ms"),
        (calls(true), "calls slow: mean 500 ms, 7 out, 2 wait"),
        (calls(false), "calls not slow: mean 500 ms, 7 out, 2 wait"),
        (SchedulerEvent::Pools { state: "rest 0/4.0".into() }, "pools: rest 0/4.0"),
        (
            SchedulerEvent::DrainingStarted { queued: 5, active: 6, within: 30_000 },
            "draining: held 5 running 6",
        ),
    ];
    for (event, text) in cases {
        assert_eq!(event.to_string(), text);
    }
}
