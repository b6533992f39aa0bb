//! Runs the subcommands of the command-line tool.

use std::env;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::access::AccessKey;
use crate::arguments::CallerArgs;
use crate::arguments::CallerSubcommand;
use crate::arguments::ConfigStatusArgs;
use crate::arguments::ConfigSubcommand;
use crate::arguments::TeamSubcommand;
use crate::client::ClientError;
use crate::client::ClientRequest;
use crate::client::ClientResponse;
use crate::client::DaemonClient;
use crate::domain_command;
use crate::exit::ExitStatus;
use crate::job_command;
use crate::table;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::DaemonView;
use mustardpath_core::units::TimeSpan;

/// Environment variable with the address of the daemon.
const DAEMON_VARIABLE: &str = "MUSTARDPATH_DAEMON";

/// Environment variable with the name of the team.
const TEAM_VARIABLE: &str = "MUSTARDPATH_TEAM";

/// Time between two polls of an awaited state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Client and options that the subcommands share.
#[derive(Debug)]
pub struct CommandContext {
    /// Client for the daemon.
    pub client: DaemonClient,
    team: Option<String>,
    json: bool,
}

/// Result of a subcommand: its exit status, or the reason why there is no result.
pub type CommandResult = Result<ExitStatus, ClientError>;

/// Runs a subcommand. Prints its error, if any, and returns the exit status.
#[must_use]
pub fn run(args: &CallerArgs) -> ExitStatus {
    let result = CommandContext::new(args).and_then(|context| dispatch(&context, &args.subcommand));
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit_status()
    })
}

fn dispatch(context: &CommandContext, subcommand: &CallerSubcommand) -> CommandResult {
    match subcommand {
        CallerSubcommand::Submit(args) => job_command::submit(context, args),
        CallerSubcommand::Status(args) => job_command::status(context, args),
        CallerSubcommand::Wait(args) => job_command::wait(context, args),
        CallerSubcommand::Cancel(args) => job_command::cancel(context, args),
        CallerSubcommand::Answer(args) => job_command::answer(context, args),
        CallerSubcommand::Request(args) => job_command::request(context, args),
        CallerSubcommand::Explain(args) => job_command::explain(context, args),
        CallerSubcommand::Domain(args) => domain_command::run(context, &args.subcommand),
        CallerSubcommand::Config(args) => match &args.subcommand {
            ConfigSubcommand::Status(args) => config_status(context, args),
        },
        CallerSubcommand::Team(args) => match &args.subcommand {
            TeamSubcommand::Status(_) => context.send_and_print(&ClientRequest::get("/v1/teams")),
        },
        CallerSubcommand::Dump(_) => dump(context),
        CallerSubcommand::Ready(_) => context.send_and_print(&ClientRequest::get("/ready")),
    }
}

impl CommandContext {
    fn new(args: &CallerArgs) -> Result<Self, ClientError> {
        let needs_key = !matches!(args.subcommand, CallerSubcommand::Ready(_));
        let key = if needs_key {
            let key = AccessKey::read(args.key_file.as_deref());
            Some(key.map_err(ClientError::BadInput)?)
        } else {
            None
        };
        Ok(Self {
            client: DaemonClient::new(daemon_address(args.daemon)?, key),
            team: args.team.clone().or_else(|| env::var(TEAM_VARIABLE).ok()),
            json: args.json,
        })
    }

    /// Returns the name and the value of the header that names the team.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::BadInput`] if no team is given.
    pub fn team_header(&self) -> Result<(&'static str, String), ClientError> {
        let team = self.team.clone().ok_or_else(|| {
            ClientError::BadInput(format!("no team: set {TEAM_VARIABLE} or pass --team"))
        })?;
        Ok(("Mustardpath-Team", team))
    }

    /// Sends a request and prints the response.
    ///
    /// # Errors
    ///
    /// Returns why there is no response, or that it cannot be decoded.
    pub fn send_and_print(&self, request: &ClientRequest<'_>) -> CommandResult {
        let response = self.client.send(request)?;
        self.print(&response)?;
        Ok(ExitStatus::Success)
    }

    /// Prints a response as a table, or as JSON if `--json` is given.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Malformed`] if the response cannot be decoded.
    pub fn print(&self, response: &ClientResponse) -> Result<(), ClientError> {
        let answer: CallerAnswer = response.decode()?;
        if self.json {
            write_line(&response.body);
            return Ok(());
        }
        let text = match &answer {
            CallerAnswer::Job(view) => table::job(view),
            CallerAnswer::Key(view) => table::key(view),
            CallerAnswer::Reasons { reasons } => join_lines(reasons),
            CallerAnswer::Daemons { daemons } => table::daemons(daemons),
            CallerAnswer::Domains { domains } => table::domains(domains),
            CallerAnswer::Teams { teams } => table::teams(teams),
            CallerAnswer::Ready => "ready\n".to_owned(),
            _ => {
                return Err(ClientError::Malformed(
                    "unexpected kind of response".to_owned(),
                ));
            }
        };
        write_out(text.as_bytes());
        Ok(())
    }
}

fn daemon_address(option: Option<SocketAddr>) -> Result<SocketAddr, ClientError> {
    if let Some(address) = option {
        return Ok(address);
    }
    let text = env::var(DAEMON_VARIABLE).map_err(|_| {
        ClientError::BadInput(format!("no daemon: set {DAEMON_VARIABLE} or pass --daemon"))
    })?;
    text.parse()
        .map_err(|_| ClientError::BadInput(format!("{text:?} is not an IP address and port")))
}

fn join_lines(lines: &[String]) -> String {
    lines.iter().map(|line| format!("{line}\n")).collect()
}

/// Writes to standard output. Errors are ignored: a closed pipe is not a failure of the command.
pub fn write_out(bytes: &[u8]) {
    let mut output = io::stdout().lock();
    let _ = output.write_all(bytes);
}

fn write_line(bytes: &[u8]) {
    write_out(bytes);
    write_out(b"\n");
}

/// Polls `check` until it returns a value. Returns `None` if the timeout expires first.
///
/// # Errors
///
/// Returns an error that is not temporary at once. A temporary error is retried, and returned if
/// the timeout has expired.
pub fn poll<T>(
    timeout: TimeSpan,
    mut check: impl FnMut() -> Result<Option<T>, ClientError>,
) -> Result<Option<T>, ClientError> {
    let deadline = Instant::now() + Duration::from_millis(timeout.0);
    loop {
        let result = check();
        let is_expired = Instant::now() >= deadline;
        match result {
            Ok(Some(value)) => return Ok(Some(value)),
            Ok(None) if is_expired => return Ok(None),
            Err(error) if is_expired || !error.is_temporary() => return Err(error),
            Ok(None) | Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

fn dump(context: &CommandContext) -> CommandResult {
    let response = context.client.send(&ClientRequest::get("/v1/dump"))?;
    let _: serde_json::Value = response.decode()?;
    write_line(&response.body);
    Ok(ExitStatus::Success)
}

fn config_status(context: &CommandContext, args: &ConfigStatusArgs) -> CommandResult {
    let request = ClientRequest::get("/v1/config/status");
    let Some(version) = args.version else {
        return context.send_and_print(&request);
    };
    let mut last_response = None;
    let result = poll(args.timeout, || {
        let response = context.client.send(&request)?;
        let daemons = decode_daemons(&response)?;
        last_response = Some(response);
        let mut live = daemons.iter().filter(|view| view.live);
        Ok(live.all(|view| view.config.0 >= version).then_some(()))
    });
    if let Some(response) = &last_response {
        context.print(response)?;
    }
    match result? {
        Some(()) => Ok(ExitStatus::Success),
        None => {
            eprintln!("version {version} is not in force at each live daemon");
            Ok(ExitStatus::Unfinished)
        }
    }
}

fn decode_daemons(response: &ClientResponse) -> Result<Vec<DaemonView>, ClientError> {
    match response.decode()? {
        CallerAnswer::Daemons { daemons } => Ok(daemons),
        _ => Err(ClientError::Malformed(
            "the response is not a list of daemons".to_owned(),
        )),
    }
}
