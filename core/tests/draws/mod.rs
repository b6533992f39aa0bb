//! Inputs of property tests, generated from fixed seeds.
//!
//! `bolero::check!` takes all seeds but the first from the system, so its result can differ from
//! run to run. Here each input has its own seed, which a failure can name.

use std::iter;
use std::ops::Range;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;

/// Generates lists of 1 to `max_len` values, one list for each seed.
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

/// Random bytes for each value. A list ends early when its bytes run out.
const VALUE_BYTES: usize = 64;
