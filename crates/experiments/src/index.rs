//! What a draw costs: the index of `pools` beside what the module does, which copies all that may start, selects, and
//! removes the drawn one from its list. Real times on this machine, by the number held, in one list and in four pools.

use cypresscleat_concurrency::rank_index::{select_across, RankIndex, RankKey};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

const BETA: f64 = 0.9;

/// The rank drawn among so many.
fn rank(count: usize, u: f64) -> usize {
    let rank = (1.0 - u * (1.0 - BETA.powi(count as i32))).ln() / BETA.ln();
    (rank as usize).min(count - 1)
}

/// Draws, removes and puts a new one in its place, over and over; nanoseconds each.
fn timed(mut turn: impl FnMut()) -> f64 {
    let (began, mut many) = (Instant::now(), 0u32);
    while began.elapsed() < Duration::from_millis(200) {
        for _ in 0..100 {
            turn();
        }
        many += 100;
    }
    began.elapsed().as_nanos() as f64 / f64::from(many)
}

fn by_order(a: &RankKey, b: &RankKey) -> std::cmp::Ordering {
    a.size.total_cmp(&b.size).then(a.sequence.cmp(&b.sequence))
}

/// As the module has it: keys stand in records, the list holds their places.
fn vector(held: usize) -> f64 {
    let mut chance = Pcg64Mcg::new(7);
    let mut recs: Vec<RankKey> = (0..held)
        .map(|inv| RankKey { size: chance.random::<f64>(), sequence: inv as u64, request: inv })
        .collect();
    let (mut list, mut sequence): (Vec<usize>, u64) = ((0..held).collect(), held as u64);
    timed(|| {
        let mut ranked: Vec<usize> = list.iter().copied().filter(|inv| recs[*inv].size >= 0.0).collect();
        let rank = rank(ranked.len(), chance.random());
        let (_, drawn, _) = ranked.select_nth_unstable_by(rank, |a, b| by_order(&recs[*a], &recs[*b]));
        let drawn = *drawn;
        list.retain(|other| *other != drawn);
        recs[drawn] = RankKey { size: chance.random(), sequence, request: drawn };
        list.push(drawn);
        sequence += 1;
    })
}

fn index(held: usize, pools: usize) -> f64 {
    let mut chance = Pcg64Mcg::new(7);
    let mut indexes = vec![RankIndex::default(); pools];
    for inv in 0..held {
        indexes[inv % pools].insert(RankKey { size: chance.random(), sequence: inv as u64, request: inv });
    }
    let mut sequence = held as u64;
    timed(|| {
        let rank = rank(held, chance.random());
        let some: Vec<&RankIndex> = indexes.iter().collect();
        let drawn = if pools == 1 { indexes[0].select(rank) } else { select_across(&some, rank) };
        let Some(drawn) = drawn else { return };
        let at = drawn.request % pools;
        indexes[at].remove(&drawn);
        indexes[at].insert(RankKey { size: chance.random(), sequence, request: drawn.request });
        sequence += 1;
    })
}

pub fn table() -> String {
    let mut out = String::from(
        "| held | vector, ns a draw | index, one list | index, four pools |\n| --- | --- | --- | --- |\n",
    );
    for held in [10, 30, 100, 1_000, 10_000] {
        out += &format!("| {held} | {:.0} | {:.0} | {:.0} |\n", vector(held), index(held, 1), index(held, 4));
    }
    out
}
