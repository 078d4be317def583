//! Pending renewals and the choice of the replica.

use cypresscleat_sessions::renewals::PendingRenewals;
use cypresscleat_sessions::replicas::ReplicaRotation;

#[test]
fn only_the_latest_renewals_are_pending() {
    let mut pending = PendingRenewals::default();
    (1..=9).for_each(|number| pending.record(number, 100 * i64::from(number)));
    assert_eq!((pending.sent_at(1), pending.sent_at(2), pending.sent_at(9)), (None, Some(200), Some(900)));
    pending.clear();
    assert_eq!(pending.sent_at(9), None);
}

#[test]
fn replicas_rotate_and_one_that_responds_stays_selected() {
    let mut replicas = ReplicaRotation::new(vec![4, 5], 1);
    assert_eq!(replicas.current(), Some(5));
    replicas.advance();
    assert_eq!(replicas.current(), Some(4));
    replicas.select(5);
    replicas.select(9);
    assert_eq!(replicas.current(), Some(5));
    let mut none = ReplicaRotation::new(vec![], 0);
    none.advance();
    assert_eq!(none.current(), None);
    none.add(7);
    none.add(7);
    none.advance();
    assert_eq!(none.current(), Some(7));
}

#[test]
fn redirects_are_followed_twice_and_to_known_replicas_only() {
    let mut replicas = ReplicaRotation::new(vec![4, 5], 0);
    assert!(!replicas.follow_redirect(4, 4), "to itself");
    assert!(!replicas.follow_redirect(4, 6), "to an unknown replica");
    assert!(replicas.follow_redirect(4, 5) && replicas.follow_redirect(5, 4));
    assert!(!replicas.follow_redirect(4, 5), "a third time");
    assert_eq!(replicas.current(), Some(4));
    replicas.set_redirects_followed(0);
    assert!(replicas.follow_redirect(4, 5));
}
