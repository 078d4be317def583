//! Reservations at a worker that is warming up: the attempts of all senders in flight never exceed the budget.

use cypresscleat_forwarding::slow_start::{ReservedCapacity, SlowStart, MAX_SENDERS, RESERVATION_DURATION};
use cypresscleat_forwarding::{NodeId, Time, SECOND};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// One sender: its reservation, its attempts in flight, and its request that waits for a response.
#[derive(Default)]
struct Sender {
    reserved: ReservedCapacity,
    in_flight: u32,
    pending_request: Option<(Time, u32)>,
}

#[derive(Clone, Debug)]
enum Event {
    SendRequest(usize),
    /// The request reaches the worker, and the response is delivered or lost.
    ReceiveResponse(usize, bool),
    StartAttempt(usize),
    EndAttempt(usize),
    AdvanceTime(Time),
}

fn events(senders: usize) -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        3 => (0..senders).prop_map(Event::SendRequest),
        3 => ((0..senders), prop::bool::weighted(0.9)).prop_map(|(index, is_delivered)| Event::ReceiveResponse(index, is_delivered)),
        6 => (0..senders).prop_map(Event::StartAttempt),
        2 => (0..senders).prop_map(Event::EndAttempt),
        2 => (1..SECOND).prop_map(Event::AdvanceTime),
    ];
    prop::collection::vec(event, 0..400)
}

fn run_events(all: &[Event], senders: usize, budget: f64, expected: usize) -> Result<(), TestCaseError> {
    let (mut slow_start, mut now) = (SlowStart::default(), 0);
    let mut senders_by_index: BTreeMap<usize, Sender> =
        (0..senders).map(|index| (index, Sender::default())).collect();
    for event in all {
        match event {
            Event::AdvanceTime(span) => now += span,
            Event::SendRequest(index) => {
                let sender = senders_by_index.get_mut(index).expect("a sender");
                sender.reserved.invalidate();
                sender.pending_request = Some((now, sender.in_flight));
            }
            Event::ReceiveResponse(index, is_delivered) => {
                let sender = senders_by_index.get_mut(index).expect("a sender");
                let Some((requested_at, in_flight)) = sender.pending_request.take() else { continue };
                let slots = slow_start.reserve(now, *index as NodeId + 1, in_flight, budget, expected);
                if *is_delivered {
                    sender.reserved.accept(requested_at, slots);
                }
            }
            Event::StartAttempt(index) => {
                let sender = senders_by_index.get_mut(index).expect("a sender");
                if sender.pending_request.is_none() && sender.in_flight < sender.reserved.slots(now) {
                    sender.in_flight += 1;
                }
            }
            Event::EndAttempt(index) => {
                let sender = senders_by_index.get_mut(index).expect("a sender");
                sender.in_flight = sender.in_flight.saturating_sub(1);
            }
        }
        let reserved: u64 =
            senders_by_index.values().map(|sender| u64::from(sender.reserved.slots(now))).sum();
        prop_assert!(reserved <= budget as u64, "reserved {reserved} of {budget}");
        prop_assert!(slow_start.charged_slots(now) >= reserved);
    }
    Ok(())
}

proptest! {
    #[test]
    fn reservations_never_exceed_the_budget(all in events(12), budget in 0.0..20.0f64, expected in 0usize..14) {
        run_events(&all, 12, budget, expected)?;
    }
}

/// Simulates senders that request slots twice a second and use all of them, with this duration of each attempt. Returns the maximum
/// number of attempts in flight at the worker and the started attempts per second.
fn measure_load(senders: usize, expected: usize, budget: f64, duration: Time) -> (usize, f64) {
    let mut slow_start = SlowStart::default();
    let mut senders_by_index: Vec<ReservedCapacity> = vec![ReservedCapacity::default(); senders];
    let mut in_flight: Vec<Vec<Time>> = vec![Vec::new(); senders];
    let (mut max_in_flight, mut started) = (0, 0usize);
    let seconds = 8;
    for step in 0..seconds * 1000 {
        let now = step * SECOND / 1000;
        for (index, sender) in senders_by_index.iter_mut().enumerate() {
            in_flight[index].retain(|until| *until > now);
            if (step + index as Time * 17) % 500 == 0 {
                sender.invalidate();
                let slots = slow_start.reserve(
                    now,
                    index as NodeId + 1,
                    in_flight[index].len() as u32,
                    budget,
                    expected,
                );
                sender.accept(now, slots);
            }
            while in_flight[index].len() < sender.slots(now) as usize {
                in_flight[index].push(now + duration);
                started += 1;
            }
        }
        max_in_flight = max_in_flight.max(in_flight.iter().map(Vec::len).sum());
    }
    (max_in_flight, started as f64 / seconds as f64)
}

/// Each slot runs five attempts a second, so 70 is the maximum. With many senders the reservations move every half second and stay
/// charged while attempts of the previous sender may still run. A share is also reserved for expected senders that are absent.
#[test]
fn one_eight_or_thirty_senders_share_one_budget_with_bounded_loss() {
    let cases = [
        (1, 1, 70.0),
        (1, 2, 35.0),
        (8, 1, 60.0),
        (8, 8, 60.0),
        (8, 16, 34.0),
        (30, 1, 40.0),
        (30, 30, 35.0),
        (30, 60, 25.0),
    ];
    for (senders, expected, min_rate) in cases {
        let (max_in_flight, rate) = measure_load(senders, expected, 14.0, SECOND / 5);
        println!("{senders} senders, {expected} expected: {max_in_flight} at once, {rate} a second");
        assert!(max_in_flight <= 14, "{senders} senders, {expected} expected: {max_in_flight} at once");
        assert!(rate >= min_rate, "{senders} senders, {expected} expected: {rate} a second");
    }
}

#[test]
fn reservations_of_inactive_senders_expire_and_the_table_is_bounded() {
    let mut slow_start = SlowStart::default();
    assert_eq!(slow_start.reserve(0, 1, 0, 4.0, 1), 4);
    assert_eq!(slow_start.reserve(1, 2, 0, 4.0, 1), 0, "all slots are reserved");
    assert_eq!(slow_start.reserve(RESERVATION_DURATION, 2, 0, 4.0, 1), 4, "the reservation has expired");
    for sender in 0..2 * MAX_SENDERS as NodeId {
        slow_start.reserve(RESERVATION_DURATION, sender + 3, 0, 1e9, 1);
    }
    assert_eq!(slow_start.reserve(RESERVATION_DURATION, 3 * MAX_SENDERS as NodeId, 0, 1e9, 1), 0);
}
