//! The logger thread. A slow output stream delays only this thread.

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

/// Maximum number of lines queued for the logger.
const LINE_QUEUE_CAPACITY: usize = 1_024;

/// A log line before formatting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The part of the daemon that logs the line.
    pub target: LogTarget,
    /// Severity at which the line is written.
    pub level: LogLevel,
    /// The message, without the prefix of its target.
    pub line: String,
}

/// Installs the process-wide logger, which writes to standard output or standard error. Further
/// calls have no effect.
pub fn init(level: LevelFilter, stream: TerminalMode) {
    let config = ConfigBuilder::new()
        .add_filter_allow_str("mustardpath")
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    // Initialization fails only when a logger is installed already, which then stays in use.
    let _ = TermLogger::init(level, config, stream, ColorChoice::Never);
}

/// Starts the logger thread of a daemon. It ends when all senders of the returned channel are
/// dropped.
///
/// # Errors
///
/// Returns the I/O error when the thread cannot be spawned.
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
