//! Property tests: randomly corrupted team files and settings.

use std::iter;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::ByteSliceDriver;
use bolero::generator::bolero_generator::driver::Options;
use indexmap::IndexMap;

use mustardpath_core::collection::CheckBounds;
use mustardpath_core::collection::SourceFile;
use mustardpath_core::collection::check;
use mustardpath_core::collection::check_change;
use mustardpath_core::settings;

const TEAM: &str =
    include_str!("../../examples/thanh-lam/services/sand-flow/team.mustardpath.json");
const SETTINGS: &str = include_str!("../../examples/mustardpathd.json");

/// One corruption of a text: a range of bytes is replaced.
#[derive(Clone, Debug, TypeGenerator)]
struct TextCorruption {
    start: u16,
    length: u8,
    replacement: ReplacementText,
}

#[derive(Clone, Debug, TypeGenerator)]
enum ReplacementText {
    Nothing,
    Token(u8),
    Bytes(Vec<u8>),
}

/// Tokens that change the structure of JSON more often than random bytes do.
const TOKENS: [&str; 16] = [
    "{", "}", "[", "]", "\"", ",", ":", "null", "0", "-1", "1e99", "true", "{}", "[]", "//",
    "\\u0000",
];

/// Number of inputs per test. Input `n` is drawn from seed `n`.
const INPUTS: u64 = 2_000;

/// Number of random bytes that one input is generated from.
const INPUT_BYTES: usize = 2_048;

/// Generates inputs from fixed seeds, which makes each run reproducible. `bolero::check!` takes all
/// seeds but the first from the system.
fn inputs() -> impl Iterator<Item = Vec<TextCorruption>> {
    (0..INPUTS).filter_map(|seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let bytes: Vec<_> = iter::repeat_with(|| random.u8(..))
            .take(INPUT_BYTES)
            .collect();
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let count = usize::from(random.u8(..)) % 8;
        iter::repeat_with(|| TextCorruption::generate(&mut driver))
            .take(count)
            .collect()
    })
}

fn corrupt(text: &str, corruptions: &[TextCorruption]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for corruption in corruptions {
        let start = usize::from(corruption.start) % (bytes.len() + 1);
        let end = (start + usize::from(corruption.length % 16)).min(bytes.len());
        let replacement = match &corruption.replacement {
            ReplacementText::Nothing => &[],
            ReplacementText::Token(number) => TOKENS[usize::from(number % 16)].as_bytes(),
            ReplacementText::Bytes(bytes) => bytes.as_slice(),
        };
        bytes.splice(start..end, replacement.iter().copied());
    }
    bytes
}

/// Guards against corrupted team files that cause a panic instead of reported problems, and against
/// files that are valid as text but not as part of a change.
#[test]
fn corrupted_team_files_are_reported_or_valid() {
    let (mut valid, mut reported) = (0, 0);
    for corruptions in inputs() {
        let bytes = corrupt(TEAM, &corruptions);
        match check_text(&bytes) {
            Ok(()) => valid += 1,
            Err(lines) => {
                let last = bytes.split(|&byte| byte == b'\n').count();
                assert!(!lines.is_empty(), "{corruptions:?}");
                assert!(
                    lines.iter().all(|line| (1..=last).contains(line)),
                    "{corruptions:?}"
                );
                reported += 1;
            }
        }
    }
    assert!(
        valid > 100 && reported > 100,
        "{valid} valid, {reported} reported"
    );
}

/// Validates a team file as text, then as a change. Returns the lines of the problems.
fn check_text(bytes: &[u8]) -> Result<(), Vec<usize>> {
    let bounds = CheckBounds::default();
    let file = SourceFile { name: "t", bytes };
    let teams = check(&[file], &bounds).map_err(|problems| {
        let lines = problems.iter().map(|problem| problem.line as usize);
        lines.collect::<Vec<_>>()
    })?;
    let change: Vec<_> = teams.into_values().collect();
    assert_eq!(check_change(&IndexMap::new(), &change, &bounds), Ok(()));
    Ok(())
}

/// Guards against corrupted settings that cause a panic or fail without a list of problems.
#[test]
fn corrupted_settings_are_reported_or_valid() {
    let (mut valid, mut reported) = (0, 0);
    for corruptions in inputs() {
        let bytes = corrupt(SETTINGS, &corruptions);
        let Ok(text) = std::str::from_utf8(&bytes) else {
            continue;
        };
        match settings::parse("d", text) {
            Ok(read) => {
                let text = serde_json::to_string(&read).expect("settings can be encoded");
                assert_eq!(settings::parse("d", &text), Ok(read));
                valid += 1;
            }
            Err(problems) => {
                assert!(!problems.is_empty(), "{corruptions:?}");
                reported += 1;
            }
        }
    }
    assert!(
        valid > 100 && reported > 100,
        "{valid} valid, {reported} reported"
    );
}
