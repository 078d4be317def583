//! A cold worker's promises: what all senders have out at once, counted by whoever receives it, never passes the budget.

use cypresscleat_forwarding::slow_start::{ReservedCapacity, SlowStart, MAX_SENDERS, RESERVATION_DURATION};
use cypresscleat_forwarding::{NodeId, Time, SECOND};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// One sender: its promise, what it has out, and whether it waits for an answer.
#[derive(Default)]
struct Sender {
    promised: ReservedCapacity,
    out: u32,
    asked: Option<(Time, u32)>,
}

#[derive(Clone, Debug)]
enum Event {
    Asks(usize),
    /// The question reaches the worker, and the answer comes back; or one of both is lost.
    Answered(usize, bool),
    Sends(usize),
    Ends(usize),
    Passes(Time),
}

fn events(senders: usize) -> impl Strategy<Value = Vec<Event>> {
    let one = prop_oneof![
        3 => (0..senders).prop_map(Event::Asks),
        3 => ((0..senders), prop::bool::weighted(0.9)).prop_map(|(who, comes)| Event::Answered(who, comes)),
        6 => (0..senders).prop_map(Event::Sends),
        2 => (0..senders).prop_map(Event::Ends),
        2 => (1..SECOND).prop_map(Event::Passes),
    ];
    prop::collection::vec(one, 0..400)
}

fn play(all: &[Event], senders: usize, budget: f64, expected: usize) -> Result<(), TestCaseError> {
    let (mut ramp, mut now) = (SlowStart::default(), 0);
    let mut parties: BTreeMap<usize, Sender> = (0..senders).map(|who| (who, Sender::default())).collect();
    for event in all {
        match event {
            Event::Passes(span) => now += span,
            Event::Asks(who) => {
                let one = parties.get_mut(who).expect("a sender");
                one.promised.invalidate();
                one.asked = Some((now, one.out));
            }
            Event::Answered(who, comes) => {
                let one = parties.get_mut(who).expect("a sender");
                let Some((asked, out)) = one.asked.take() else { continue };
                let slots = ramp.reserve(now, *who as NodeId + 1, out, budget, expected);
                if *comes {
                    one.promised.accept(asked, slots);
                }
            }
            Event::Sends(who) => {
                let one = parties.get_mut(who).expect("a sender");
                if one.asked.is_none() && one.out < one.promised.slots(now) {
                    one.out += 1;
                }
            }
            Event::Ends(who) => {
                let one = parties.get_mut(who).expect("a sender");
                one.out = one.out.saturating_sub(1);
            }
        }
        let promised: u64 = parties.values().map(|one| u64::from(one.promised.slots(now))).sum();
        prop_assert!(promised <= budget as u64, "promised {promised} of {budget}");
        prop_assert!(ramp.charged_slots(now) >= promised);
    }
    Ok(())
}

proptest! {
    #[test]
    fn reservations_never_exceed_the_budget(all in events(12), budget in 0.0..20.0f64, expected in 0usize..14) {
        play(&all, 12, budget, expected)?;
    }
}

/// So many senders that ask twice a second, each sending all that it may and each run taking so long: the most that the worker had
/// at once, and how much it ran a second.
fn load(senders: usize, expected: usize, budget: f64, takes: Time) -> (usize, f64) {
    let mut ramp = SlowStart::default();
    let mut parties: Vec<ReservedCapacity> = vec![ReservedCapacity::default(); senders];
    let mut out: Vec<Vec<Time>> = vec![Vec::new(); senders];
    let (mut most, mut ran) = (0, 0usize);
    let seconds = 8;
    for step in 0..seconds * 1000 {
        let now = step * SECOND / 1000;
        for (who, one) in parties.iter_mut().enumerate() {
            out[who].retain(|until| *until > now);
            if (step + who as Time * 17) % 500 == 0 {
                one.invalidate();
                let slots = ramp.reserve(now, who as NodeId + 1, out[who].len() as u32, budget, expected);
                one.accept(now, slots);
            }
            while out[who].len() < one.slots(now) as usize {
                out[who].push(now + takes);
                ran += 1;
            }
        }
        most = most.max(out.iter().map(Vec::len).sum());
    }
    (most, ran as f64 / seconds as f64)
}

/// Five runs a second in each place, 70 at the most. Of many senders a promise moves on each half second, and is charged while a run of
/// the one before may still go on; and a part is kept for those who were expected and did not come.
#[test]
fn one_eight_and_thirty_senders_share_one_budget_at_a_known_cost() {
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
    for (senders, expected, least) in cases {
        let (most, rate) = load(senders, expected, 14.0, SECOND / 5);
        println!("{senders} senders, {expected} expected: {most} at once, {rate} a second");
        assert!(most <= 14, "{senders} senders, {expected} expected: {most} at once");
        assert!(rate >= least, "{senders} senders, {expected} expected: {rate} a second");
    }
}

#[test]
fn reservations_of_gone_senders_expire_and_the_table_is_bounded() {
    let mut ramp = SlowStart::default();
    assert_eq!(ramp.reserve(0, 1, 0, 4.0, 1), 4);
    assert_eq!(ramp.reserve(1, 2, 0, 4.0, 1), 0, "all is promised");
    assert_eq!(ramp.reserve(RESERVATION_DURATION, 2, 0, 4.0, 1), 4, "and free again");
    for who in 0..2 * MAX_SENDERS as NodeId {
        ramp.reserve(RESERVATION_DURATION, who + 3, 0, 1e9, 1);
    }
    assert_eq!(ramp.reserve(RESERVATION_DURATION, 3 * MAX_SENDERS as NodeId, 0, 1e9, 1), 0);
}
