//! The logger thread, so that a slow terminal cannot hold up the control thread.

use std::io;
use std::thread;

use crossbeam_channel::Sender;
use simplelog::ColorChoice;
use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::TermLogger;
use simplelog::TerminalMode;

use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;

/// Lines that wait for the logger.
const LINE_QUEUE_CAPACITY: usize = 1_024;

/// One log line before it is formatted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The target that writes it.
    pub target: LogTarget,
    /// How important it is.
    pub level: LogLevel,
    /// One short sentence.
    pub line: String,
}

/// Sends log lines to standard output or standard error. A second call in one process changes
/// nothing.
pub fn init(level: LevelFilter, stream: TerminalMode) {
    let config = ConfigBuilder::new()
        .add_filter_allow_str("mustardpath")
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    // Only a second logger in the process is an error here, and the first one stays in use.
    let _ = TermLogger::init(level, config, stream, ColorChoice::Never);
}

/// Starts the logger thread for one daemon. It ends when all senders are gone.
///
/// # Errors
///
/// Returns the system's error when the thread cannot be started.
pub fn spawn(daemon: String) -> io::Result<Sender<LogLine>> {
    let (sender, lines) = crossbeam_channel::bounded::<LogLine>(LINE_QUEUE_CAPACITY);
    thread::Builder::new().name("logs".into()).spawn(move || {
        for line in lines {
            write_line(&daemon, &line);
        }
    })?;
    Ok(sender)
}

fn write_line(daemon: &str, line: &LogLine) {
    let prefix = line.target.prefix();
    match line.level {
        LogLevel::Info => log::info!("{daemon} {prefix} {}", line.line),
        LogLevel::Warn => log::warn!("{daemon} {prefix} {}", line.line),
    }
}
