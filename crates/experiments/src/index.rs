//! The cost of a draw: the rank index of the pools, compared with a vector that is copied, searched and updated on each draw. Real
//! times on this machine, by the number of queued requests, in one queue and in four pools.

use cypresscleat_concurrency::rank_index::{select_across, RankIndex, RankKey};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

const BETA: f64 = 0.9;

/// The rank drawn among `count` requests, for a uniform `u` between 0 and 1.
fn rank(count: usize, u: f64) -> usize {
    let rank = (1.0 - u * (1.0 - BETA.powi(count as i32))).ln() / BETA.ln();
    (rank as usize).min(count - 1)
}

/// Repeats `turn`, which draws, removes and replaces one request; returns the mean time in nanoseconds.
fn timed(mut turn: impl FnMut()) -> f64 {
    let (began, mut turns) = (Instant::now(), 0u32);
    while began.elapsed() < Duration::from_millis(200) {
        for _ in 0..100 {
            turn();
        }
        turns += 100;
    }
    began.elapsed().as_nanos() as f64 / f64::from(turns)
}

fn by_order(a: &RankKey, b: &RankKey) -> std::cmp::Ordering {
    a.size.total_cmp(&b.size).then(a.sequence.cmp(&b.sequence))
}

/// Time of a draw with a vector: the keys are in records, and the list holds their indexes.
fn vector(queued: usize) -> f64 {
    let mut rng = Pcg64Mcg::new(7);
    let mut recs: Vec<RankKey> = (0..queued)
        .map(|inv| RankKey { size: rng.random::<f64>(), sequence: inv as u64, request: inv })
        .collect();
    let (mut list, mut sequence): (Vec<usize>, u64) = ((0..queued).collect(), queued as u64);
    timed(|| {
        let mut ranked: Vec<usize> = list.iter().copied().filter(|inv| recs[*inv].size >= 0.0).collect();
        let rank = rank(ranked.len(), rng.random());
        let (_, drawn, _) = ranked.select_nth_unstable_by(rank, |a, b| by_order(&recs[*a], &recs[*b]));
        let drawn = *drawn;
        list.retain(|other| *other != drawn);
        recs[drawn] = RankKey { size: rng.random(), sequence, request: drawn };
        list.push(drawn);
        sequence += 1;
    })
}

/// Time of a draw with rank indexes, one for each pool.
fn index(queued: usize, pools: usize) -> f64 {
    let mut rng = Pcg64Mcg::new(7);
    let mut indexes = vec![RankIndex::default(); pools];
    for inv in 0..queued {
        indexes[inv % pools].insert(RankKey { size: rng.random(), sequence: inv as u64, request: inv });
    }
    let mut sequence = queued as u64;
    timed(|| {
        let rank = rank(queued, rng.random());
        let some: Vec<&RankIndex> = indexes.iter().collect();
        let drawn = if pools == 1 { indexes[0].select(rank) } else { select_across(&some, rank) };
        let Some(drawn) = drawn else { return };
        let at = drawn.request % pools;
        indexes[at].remove(&drawn);
        indexes[at].insert(RankKey { size: rng.random(), sequence, request: drawn.request });
        sequence += 1;
    })
}

/// The times of a draw as a Markdown table.
pub fn table() -> String {
    let mut out = String::from(
        "| queued | vector, ns a draw | index, one queue | index, four pools |\n| --- | --- | --- | --- |\n",
    );
    for queued in [10, 30, 100, 1_000, 10_000] {
        out += &format!(
            "| {queued} | {:.0} | {:.0} | {:.0} |\n",
            vector(queued),
            index(queued, 1),
            index(queued, 4)
        );
    }
    out
}
