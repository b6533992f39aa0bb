//! Load generator for short requests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;

use mustardpath::load;
use mustardpath::load::LoadOptions;

fn main() -> io::Result<()> {
    let options: LoadOptions = argh::from_env();
    load::run(&options)
}
