//! Command-line arguments of the caller and operator tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use mustardpath_core::ids::JobId;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::units::parse_span;

/// Sends commands of callers and operators to a mustardpath daemon.
#[derive(FromArgs, Debug)]
#[argh(
    example = "{command_name} --team quay submit berth-plan --key plan-17 --payload '{{}}'\n\
        {command_name} --team quay wait 4711 --timeout '2 h'\n\
        {command_name} explain 4711\n\
        {command_name} domain out sg-a --operator linh\n\
        {command_name} --json config status",
    note = "The daemon's address is read from MUSTARDPATH_DAEMON, the team from MUSTARDPATH_TEAM \
        and the key from MUSTARDPATH_KEY when the options are not given. Durations are whole \
        numbers with a unit: ms, s, min, h or d.",
    error_code(1, "the arguments are invalid; nothing was sent"),
    error_code(2, "the input is invalid; nothing was sent"),
    error_code(3, "the daemon refused; the command did not run"),
    error_code(4, "the daemon is unreachable; nothing was sent"),
    error_code(5, "the command may have run; check its outcome with the same key"),
    error_code(6, "the awaited state was not reached in time, or the work failed"),
    error_code(7, "the confirmation was declined; nothing was sent")
)]
pub struct CallerArgs {
    /// IP address and port of a daemon or of the load balancer
    #[argh(option)]
    pub daemon: Option<SocketAddr>,
    /// team on whose behalf the command runs
    #[argh(option)]
    pub team: Option<String>,
    /// file with the key of the team or of the operators
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// print the response as JSON
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub subcommand: CallerSubcommand,
}

/// Commands for callers and operators.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum CallerSubcommand {
    /// Submits a job.
    Submit(SubmitArgs),
    /// Shows a job.
    Status(StatusArgs),
    /// Waits for a job.
    Wait(WaitArgs),
    /// Cancels a job.
    Cancel(CancelArgs),
    /// Shows the outcome of an idempotency key.
    Answer(AnswerArgs),
    /// Sends a short request.
    Request(RequestArgs),
    /// Explains why a job is waiting.
    Explain(ExplainArgs),
    /// Shows, takes out or brings back failure domains.
    Domain(DomainArgs),
    /// Shows the configuration in force.
    Config(ConfigArgs),
    /// Shows teams.
    Team(TeamArgs),
    /// Prints the daemon's state.
    Dump(DumpArgs),
    /// Checks whether the daemon accepts new work.
    Ready(ReadyArgs),
}

/// Submits a job. A repeated submission with the same key does not start a second job.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// service of the team
    #[argh(positional)]
    pub service: String,
    /// idempotency key; by default a random key is generated and printed
    #[argh(option)]
    pub key: Option<String>,
    /// payload as text; empty by default
    #[argh(option, default = "String::new()")]
    pub payload: String,
    /// number of gang members; overrides the declaration of the service
    #[argh(option)]
    pub members: Option<u32>,
    /// run time; overrides the declaration of the service
    #[argh(option, from_str_fn(parse_span))]
    pub run_time: Option<TimeSpan>,
    /// deadline as a duration from now; overrides the declaration of the service
    #[argh(option, from_str_fn(parse_span))]
    pub deadline: Option<TimeSpan>,
}

/// Shows the phase, the workers and the end of a job.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// job number
    #[argh(positional, from_str_fn(parse_job_id))]
    pub job: JobId,
}

/// Waits until a job ends. Exits with 6 unless the job finished successfully.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "wait")]
pub struct WaitArgs {
    /// job number
    #[argh(positional, from_str_fn(parse_job_id))]
    pub job: JobId,
    /// maximum wait; 1 h by default
    #[argh(
        option,
        from_str_fn(parse_span),
        default = "TimeSpan::from_secs(3_600)"
    )]
    pub timeout: TimeSpan,
}

/// Cancels a job that is queued or placed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct CancelArgs {
    /// job number
    #[argh(positional, from_str_fn(parse_job_id))]
    pub job: JobId,
}

/// Shows the outcome of an idempotency key.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "answer")]
pub struct AnswerArgs {
    /// idempotency key of a job or of a short request
    #[argh(positional)]
    pub key: String,
}

/// Sends a short request and prints the response of the endpoint.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "request")]
pub struct RequestArgs {
    /// service of the team
    #[argh(positional)]
    pub service: String,
    /// idempotency key; required for a service that is not repeatable
    #[argh(option)]
    pub key: Option<String>,
    /// body as text; empty by default
    #[argh(option, default = "String::new()")]
    pub body: String,
    /// file with the body; overrides --body
    #[argh(option)]
    pub body_file: Option<PathBuf>,
    /// deadline as a duration from now; 10 s by default
    #[argh(option, from_str_fn(parse_span), default = "TimeSpan::from_secs(10)")]
    pub deadline: TimeSpan,
}

/// Explains why a job is waiting, with the most important reason first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// job number
    #[argh(positional, from_str_fn(parse_job_id))]
    pub job: JobId,
}

/// Shows, takes out or brings back failure domains.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "domain")]
pub struct DomainArgs {
    /// command to run
    #[argh(subcommand)]
    pub subcommand: DomainSubcommand,
}

/// Commands on failure domains.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum DomainSubcommand {
    /// Takes a failure domain out.
    Out(DomainOutArgs),
    /// Brings a failure domain back.
    In(DomainInArgs),
    /// Shows the failure domains.
    Status(DomainStatusArgs),
}

/// Takes a failure domain out: no new work starts there, and running work is moved or stopped.
/// Exits with 6 and names the daemons that have not confirmed within the timeout.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "out")]
pub struct DomainOutArgs {
    /// name of the failure domain
    #[argh(positional)]
    pub domain: String,
    /// name of the operator, which is recorded with the change
    #[argh(option)]
    pub operator: String,
    /// skip the confirmation, and proceed even if guarantees no longer fit
    #[argh(switch)]
    pub yes: bool,
    /// maximum wait for the confirmations of all live daemons; 15 s by default
    #[argh(option, from_str_fn(parse_span), default = "TimeSpan::from_secs(15)")]
    pub timeout: TimeSpan,
}

/// Brings a failure domain back.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "in")]
pub struct DomainInArgs {
    /// name of the failure domain
    #[argh(positional)]
    pub domain: String,
    /// name of the operator, which is recorded with the change
    #[argh(option)]
    pub operator: String,
}

/// Shows the failure domains and the progress of their drains.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct DomainStatusArgs {}

/// Shows the configuration in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// command to run
    #[argh(subcommand)]
    pub subcommand: ConfigSubcommand,
}

/// Commands on the configuration.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ConfigSubcommand {
    /// Shows the version in force at each daemon.
    Status(ConfigStatusArgs),
}

/// Shows the version in force at each daemon. With --version, waits until all live daemons have
/// that version, and exits with 6 if one of them does not within the timeout.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct ConfigStatusArgs {
    /// version to wait for
    #[argh(option)]
    pub version: Option<u64>,
    /// maximum wait; 10 s by default
    #[argh(option, from_str_fn(parse_span), default = "TimeSpan::from_secs(10)")]
    pub timeout: TimeSpan,
}

/// Shows teams.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "team")]
pub struct TeamArgs {
    /// command to run
    #[argh(subcommand)]
    pub subcommand: TeamSubcommand,
}

/// Commands on teams.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum TeamSubcommand {
    /// Shows usage and guarantees.
    Status(TeamStatusArgs),
}

/// Shows the usage and the guarantees of each team, in accelerators.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct TeamStatusArgs {}

/// Prints the state of one daemon as JSON, without keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {}

/// Checks whether the daemon accepts new work. Exits with 3 if it does not.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "ready")]
pub struct ReadyArgs {}

fn parse_job_id(text: &str) -> Result<JobId, String> {
    text.parse()
        .map(JobId)
        .map_err(|_| format!("{text:?} is not a job number"))
}
