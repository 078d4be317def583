//! The table that gives each folder of a task a partition of its own, and the cursor of the hours that were reported under it.

use cypresscleat_server::leases::folder_slots::SlotTable;
use cypresscleat_server::leases::usage_report::ReportCursor;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Reports the hours of a few instances as the task does: one process after the other, each with a list of its own, stopped at any point
/// between an act, its saved cursor and the next one.
#[derive(Default)]
struct Reporting {
    /// The stored table and cursors.
    table: SlotTable,
    cursors: BTreeMap<usize, Vec<u8>>,
    /// Hours that each instance has billed, and what the ledger applied, by part and item, with the instance it was told of.
    billed: BTreeMap<PathBuf, u64>,
    applied: BTreeMap<(usize, u64), PathBuf>,
}

impl Reporting {
    /// One process with a list; it stops after so many steps.
    fn run(&mut self, list: &[PathBuf], mut steps: usize) {
        self.table.add_folders(list);
        let by_slot = self.table.folders_by_slot(list);
        for (slot, folder) in by_slot.iter().enumerate() {
            let Some(folder) = folder else { continue };
            loop {
                let cursor = self.cursors.get(&slot).cloned().unwrap_or_default();
                let next_hour = ReportCursor::decode(&cursor).next_hour;
                if next_hour >= self.billed.get(folder).copied().unwrap_or(0) {
                    break;
                }
                if steps == 0 {
                    return;
                }
                let known = self.applied.entry((slot, next_hour)).or_insert_with(|| folder.clone());
                assert_eq!(known, folder, "an hour of another instance has the number");
                steps -= 1;
                if steps == 0 {
                    return; // killed between the act and its cursor
                }
                steps -= 1;
                let cursor = ReportCursor { next_hour: next_hour + 1, hour_ms: Some(1000) };
                self.cursors.insert(slot, cursor.encode());
            }
        }
    }
}

fn folder(number: u8) -> PathBuf {
    format!("/shared/n{number}/store").into()
}

proptest! {
    /// Over any order of lists, ends of processes and new hours, each hour that an instance has billed is applied once, in one part.
    #[test]
    fn every_hour_is_reported_once_whatever_becomes_of_the_list(
        rounds in proptest::collection::vec(
            (proptest::collection::vec(0..6u8, 0..6), 0..40usize, proptest::collection::vec(0..6u8, 0..4)), 1..12)
    ) {
        let mut reporting = Reporting::default();
        for (list, steps, billing) in rounds {
            for number in billing {
                *reporting.billed.entry(folder(number)).or_default() += 1;
            }
            let list: Vec<PathBuf> = list.into_iter().map(folder).collect();
            reporting.run(&list, steps);
        }
        let all: Vec<PathBuf> = (0..6).map(folder).collect();
        reporting.run(&all, usize::MAX);
        for (instance, hours) in &reporting.billed {
            let applied: Vec<_> = reporting.applied.iter().filter(|(_, told)| *told == instance).collect();
            prop_assert_eq!(applied.len() as u64, *hours, "{:?}", instance);
            prop_assert!(applied.iter().all(|((slot, _), _)| *slot == applied[0].0.0));
        }
    }
}

/// Guards a control folder of an earlier version, whose cursors are the next hour alone, and hours that change their length.
#[test]
fn cursors_of_earlier_versions_are_continued_and_other_lengths_are_refused() {
    let earlier = ReportCursor::decode(&17u64.to_le_bytes());
    assert_eq!(earlier, ReportCursor { next_hour: 17, hour_ms: None });
    assert!(earlier.continues_with(1000));
    let own = ReportCursor { next_hour: 18, hour_ms: Some(1000) };
    assert_eq!(ReportCursor::decode(&own.encode()), own);
    assert!(own.continues_with(1000) && !own.continues_with(2000));
    assert!(ReportCursor::decode(&[]).continues_with(2000));
    // The first table has the numbers of earlier versions: those of the list.
    let list = [folder(3), folder(1), folder(2)];
    let mut table = SlotTable::default();
    table.add_folders(&list);
    assert_eq!(table.folders_by_slot(&list), list.map(Some));
}
