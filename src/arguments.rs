//! Arguments of the command line.

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
        and the key from MUSTARDPATH_KEY when the options are not given. Spans of time are whole \
        numbers with a unit: ms, s, min, h or d.",
    error_code(1, "the arguments are wrong; nothing was sent"),
    error_code(2, "the input is wrong; nothing was sent"),
    error_code(3, "the daemon refused; the command did not run"),
    error_code(4, "no connection to the daemon; nothing was sent"),
    error_code(5, "the command may have run; ask with the same key"),
    error_code(6, "what was waited for did not happen, or the work failed"),
    error_code(7, "the question was not answered with yes; nothing was sent")
)]
pub struct CallerArgs {
    /// IP number and port of a daemon or of the load balancer
    #[argh(option)]
    pub daemon: Option<SocketAddr>,
    /// team to act for
    #[argh(option)]
    pub team: Option<String>,
    /// file that holds the team's or the operators' key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// print the answer as JSON
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub subcommand: CallerSubcommand,
}

/// The commands.
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
    /// Shows what became of a key.
    Answer(AnswerArgs),
    /// Sends a short request.
    Request(RequestArgs),
    /// Shows why a job waits.
    Explain(ExplainArgs),
    /// Shows, takes out or brings back failure domains.
    Domain(DomainArgs),
    /// Shows the configuration in force.
    Config(ConfigArgs),
    /// Shows teams.
    Team(TeamArgs),
    /// Prints the daemon's state.
    Dump(DumpArgs),
    /// Asks whether the daemon takes new work.
    Ready(ReadyArgs),
}

/// Submits a job. The same key never starts a second job.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct SubmitArgs {
    /// service of the team
    #[argh(positional)]
    pub service: String,
    /// idempotency key; a random one is printed when left out
    #[argh(option)]
    pub key: Option<String>,
    /// payload as text
    #[argh(option, default = "String::new()")]
    pub payload: String,
    /// members of the gang, when they differ from the service's declaration
    #[argh(option)]
    pub members: Option<u32>,
    /// run time, when it differs from the service's declaration
    #[argh(option, from_str_fn(parse_span))]
    pub run_time: Option<TimeSpan>,
    /// deadline from now, when it differs from the service's declaration
    #[argh(option, from_str_fn(parse_span))]
    pub deadline: Option<TimeSpan>,
}

/// Shows where a job stands.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// number of the job
    #[argh(positional, from_str_fn(parse_job_id))]
    pub job: JobId,
}

/// Waits until a job ends. Ends with 6 when it did not finish.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "wait")]
pub struct WaitArgs {
    /// number of the job
    #[argh(positional, from_str_fn(parse_job_id))]
    pub job: JobId,
    /// longest wait; 1 h by default
    #[argh(
        option,
        from_str_fn(parse_span),
        default = "TimeSpan::from_secs(3_600)"
    )]
    pub timeout: TimeSpan,
}

/// Cancels a job in any phase before its end.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct CancelArgs {
    /// number of the job
    #[argh(positional, from_str_fn(parse_job_id))]
    pub job: JobId,
}

/// Shows what became of an idempotency key.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "answer")]
pub struct AnswerArgs {
    /// key of a job or of a short request
    #[argh(positional)]
    pub key: String,
}

/// Sends a short request and prints the endpoint's answer.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "request")]
pub struct RequestArgs {
    /// service of the team
    #[argh(positional)]
    pub service: String,
    /// idempotency key; needed for a service that is not repeatable
    #[argh(option)]
    pub key: Option<String>,
    /// body as text
    #[argh(option, default = "String::new()")]
    pub body: String,
    /// file that holds the body; takes the place of --body
    #[argh(option)]
    pub body_file: Option<PathBuf>,
    /// deadline from now; 10 s by default
    #[argh(option, from_str_fn(parse_span), default = "TimeSpan::from_secs(10)")]
    pub deadline: TimeSpan,
}

/// Shows why a job waits, the most important reason first.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// number of the job
    #[argh(positional, from_str_fn(parse_job_id))]
    pub job: JobId,
}

/// Shows, takes out or brings back failure domains.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "domain")]
pub struct DomainArgs {
    /// what to do
    #[argh(subcommand)]
    pub subcommand: DomainSubcommand,
}

/// The commands on failure domains.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum DomainSubcommand {
    /// Takes one out.
    Out(DomainOutArgs),
    /// Brings one back.
    In(DomainInArgs),
    /// Shows them.
    Status(DomainStatusArgs),
}

/// Takes a failure domain out: nothing starts there any more and its work moves or is stopped.
/// Ends with 6 when a live daemon has not confirmed in time, and names it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "out")]
pub struct DomainOutArgs {
    /// name of the failure domain
    #[argh(positional)]
    pub domain: String,
    /// who gives the command
    #[argh(option)]
    pub operator: String,
    /// do not ask, and accept guarantees that no longer fit
    #[argh(switch)]
    pub yes: bool,
    /// longest wait for all live daemons; 15 s by default
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
    /// who gives the command
    #[argh(option)]
    pub operator: String,
}

/// Shows the failure domains and how far their drain is.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct DomainStatusArgs {}

/// Shows the configuration in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// what to do
    #[argh(subcommand)]
    pub subcommand: ConfigSubcommand,
}

/// The commands on the configuration.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ConfigSubcommand {
    /// Shows the version at each daemon.
    Status(ConfigStatusArgs),
}

/// Shows the version in force at each daemon. With --version waits until all live daemons have it
/// and ends with 6 when one does not.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct ConfigStatusArgs {
    /// version to wait for
    #[argh(option)]
    pub version: Option<u64>,
    /// longest wait; 10 s by default
    #[argh(option, from_str_fn(parse_span), default = "TimeSpan::from_secs(10)")]
    pub timeout: TimeSpan,
}

/// Shows teams.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "team")]
pub struct TeamArgs {
    /// what to do
    #[argh(subcommand)]
    pub subcommand: TeamSubcommand,
}

/// The commands on teams.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum TeamSubcommand {
    /// Shows use against guarantees.
    Status(TeamStatusArgs),
}

/// Shows what each team uses against its guarantees, in accelerators.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct TeamStatusArgs {}

/// Prints the state of one daemon as JSON, without keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {}

/// Asks whether the daemon takes new work. Ends with 3 when it does not.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "ready")]
pub struct ReadyArgs {}

fn parse_job_id(text: &str) -> Result<JobId, String> {
    text.parse()
        .map(JobId)
        .map_err(|_| format!("{text:?} is not the number of a job"))
}
