//! Inputs of property tests from fixed seeds.
//!
//! `bolero::check!` takes all seeds but the first from the system, so its verdict could differ from
//! run to run. Here each input has a seed of its own, which a failure names.

use std::iter;
use std::ops::Range;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;

/// Draws lists of at max_len `max_len` values, one list for each seed.
pub fn lists<T: TypeGenerator>(
    seeds: Range<u64>,
    max_len: usize,
) -> impl Iterator<Item = (u64, Vec<T>)> {
    seeds.map(move |seed| (seed, list(seed, max_len)))
}

fn list<T: TypeGenerator>(seed: u64, max_len: usize) -> Vec<T> {
    let mut random = fastrand::Rng::with_seed(seed);
    let bytes: Vec<u8> = iter::repeat_with(|| random.u8(..))
        .take(max_len * VALUE_BYTES)
        .collect();
    let count = random.usize(1..=max_len);
    let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
    iter::from_fn(|| T::generate(&mut driver))
        .take(count)
        .collect()
}

/// Random bytes for one value; a list ends early when they run out.
const VALUE_BYTES: usize = 64;
