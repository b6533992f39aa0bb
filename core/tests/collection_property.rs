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
struct DrawnDamage {
    start: u16,
    length: u8,
    replacement: DrawnText,
}

#[derive(Clone, Debug, TypeGenerator)]
enum DrawnText {
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
fn inputs() -> impl Iterator<Item = Vec<DrawnDamage>> {
    (0..INPUTS).filter_map(|seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let bytes: Vec<_> = iter::repeat_with(|| random.u8(..))
            .take(INPUT_BYTES)
            .collect();
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let count = usize::from(random.u8(..)) % 8;
        iter::repeat_with(|| DrawnDamage::generate(&mut driver))
            .take(count)
            .collect()
    })
}

fn damage(text: &str, damages: &[DrawnDamage]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for damage in damages {
        let start = usize::from(damage.start) % (bytes.len() + 1);
        let end = (start + usize::from(damage.length % 16)).min(bytes.len());
        let replacement = match &damage.replacement {
            DrawnText::Nothing => &[],
            DrawnText::Token(number) => TOKENS[usize::from(number % 16)].as_bytes(),
            DrawnText::Bytes(bytes) => bytes.as_slice(),
        };
        bytes.splice(start..end, replacement.iter().copied());
    }
    bytes
}

/// Guards against corrupted team files that cause a panic instead of reported problems, and against
/// files that are valid as text but not as part of a change.
#[test]
fn damaged_team_files_are_reported_or_sound() {
    let (mut sound, mut reported) = (0, 0);
    for damages in inputs() {
        let bytes = damage(TEAM, &damages);
        match check_text(&bytes) {
            Ok(()) => sound += 1,
            Err(lines) => {
                let last = bytes.split(|&byte| byte == b'\n').count();
                assert!(!lines.is_empty(), "{damages:?}");
                assert!(
                    lines.iter().all(|line| (1..=last).contains(line)),
                    "{damages:?}"
                );
                reported += 1;
            }
        }
    }
    assert!(
        sound > 100 && reported > 100,
        "{sound} sound, {reported} reported"
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
fn damaged_settings_are_reported_or_sound() {
    let (mut sound, mut reported) = (0, 0);
    for damages in inputs() {
        let bytes = damage(SETTINGS, &damages);
        let Ok(text) = std::str::from_utf8(&bytes) else {
            continue;
        };
        match settings::parse("d", text) {
            Ok(read) => {
                let text = serde_json::to_string(&read).expect("settings can be encoded");
                assert_eq!(settings::parse("d", &text), Ok(read));
                sound += 1;
            }
            Err(problems) => {
                assert!(!problems.is_empty(), "{damages:?}");
                reported += 1;
            }
        }
    }
    assert!(
        sound > 100 && reported > 100,
        "{sound} sound, {reported} reported"
    );
}
