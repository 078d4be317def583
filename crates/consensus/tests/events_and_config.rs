//! Log texts of events, which operators search for, and the validation of a configuration.

use cypresscleat_consensus::message::LogPosition;
use cypresscleat_consensus::replica::{ConfigError, RaftConfig};
use cypresscleat_consensus::{Event, Member};

#[test]
fn events_are_rendered_as_recorded() {
    let member = Member { id: 0x1a, disk: 0x2b };
    let stale = Event::StaleDisk {
        disk: 0x2b,
        last: LogPosition { term: 1, index: 2 },
        acknowledged: LogPosition { term: 3, index: 4 },
    };
    let rendered = [
        (Event::BecameLeader { term: 7 }, "leads the keepers in term 7"),
        (Event::SteppedDown { term: 7 }, "leads the keepers no longer, after term 7"),
        (Event::AddingMember(member), "keeper 000000000000001a with disk 000000000000002b comes"),
        (Event::RemovingMember(member), "keeper 000000000000001a with disk 000000000000002b goes"),
        (Event::RemovedItself, "goes from the keepers"),
        (Event::Bootstrapped { members: 3 }, "3 keepers with empty disks begin"),
        (
            stale,
            "disk 000000000000002b has forgotten: it stands at Mark { term: 1, index: 2 }, and \
             Mark { term: 3, index: 4 } was acknowledged from it",
        ),
    ];
    for (event, text) in rendered {
        assert_eq!(event.to_string(), text);
    }
}

#[test]
fn configurations_without_time_or_bound_are_rejected() {
    let valid = RaftConfig::default();
    assert_eq!(valid.validate(), Ok(()));
    for interval in [0, -1] {
        let config = RaftConfig { heartbeat_interval: interval, ..valid };
        assert_eq!(config.validate(), Err(ConfigError::HeartbeatInterval(interval)));
    }
    let config = RaftConfig { snapshot_threshold: 0, ..valid };
    assert_eq!(config.validate(), Err(ConfigError::SnapshotThreshold));
}
