//! Subcommands on jobs, idempotency keys and short requests.

use std::fs;
use std::time::Duration;

use serde_with::serde_as;

use crate::arguments::AnswerArgs;
use crate::arguments::CancelArgs;
use crate::arguments::ExplainArgs;
use crate::arguments::RequestArgs;
use crate::arguments::StatusArgs;
use crate::arguments::SubmitArgs;
use crate::arguments::WaitArgs;
use crate::client::ClientError;
use crate::client::ClientRequest;
use crate::client::ClientResponse;
use crate::client::encode_path_segment;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::command::poll;
use crate::command::write_out;
use crate::exit::ExitStatus;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::JobEnd;
use mustardpath_core::effect::JobView;
use mustardpath_core::ids::JobId;
use mustardpath_core::units::SpanText;
use mustardpath_core::units::TimeSpan;

/// Maximum wait of one long poll. Longer waits consist of several polls.
const LONG_POLL_WAIT: TimeSpan = TimeSpan::from_secs(10);

#[serde_as]
#[derive(serde::Serialize)]
struct SubmitBody<'c> {
    service: &'c str,
    members: Option<u32>,
    #[serde_as(as = "Option<SpanText>")]
    run_time: Option<TimeSpan>,
    #[serde_as(as = "Option<SpanText>")]
    deadline: Option<TimeSpan>,
    payload: &'c str,
}

/// Submits a job.
///
/// # Errors
///
/// Returns why the job was refused, or that its acceptance is unknown.
pub fn submit(context: &CommandContext, args: &SubmitArgs) -> CommandResult {
    let body = SubmitBody {
        service: &args.service,
        members: args.members,
        run_time: args.run_time,
        deadline: args.deadline,
        payload: &args.payload,
    };
    let body =
        serde_json::to_vec(&body).map_err(|error| ClientError::BadInput(error.to_string()))?;
    let team = context.team_header()?;
    let mut request = ClientRequest::post("/v1/jobs", &body);
    let key = args.key.clone().unwrap_or_else(random_key);
    request.headers = vec![team, ("Idempotency-Key", key)];
    context.send_and_print(&request)
}

/// Generates a random key and prints it before the submission. If the outcome of the submission is
/// unknown, it can be queried with the key.
fn random_key() -> String {
    let key = format!("{:032x}", fastrand::u128(..));
    eprintln!("key {key}");
    key
}

/// Shows a job.
///
/// # Errors
///
/// Returns why there is no response.
pub fn status(context: &CommandContext, args: &StatusArgs) -> CommandResult {
    let mut request = ClientRequest::get(job_path(args.job, ""));
    request.headers = vec![context.team_header()?];
    context.send_and_print(&request)
}

/// Cancels a job.
///
/// # Errors
///
/// Returns why the cancellation was refused, or that its acceptance is unknown.
pub fn cancel(context: &CommandContext, args: &CancelArgs) -> CommandResult {
    let mut request = ClientRequest::post(job_path(args.job, "/cancel"), b"");
    request.headers = vec![context.team_header()?];
    context.send_and_print(&request)
}

/// Explains why a job is waiting.
///
/// # Errors
///
/// Returns why there is no response.
pub fn explain(context: &CommandContext, args: &ExplainArgs) -> CommandResult {
    context.send_and_print(&ClientRequest::get(job_path(args.job, "/explain")))
}

/// Shows the outcome of an idempotency key.
///
/// # Errors
///
/// Returns why there is no response.
pub fn answer(context: &CommandContext, args: &AnswerArgs) -> CommandResult {
    let mut request = ClientRequest::get(format!("/v1/keys/{}", encode_path_segment(&args.key)));
    request.headers = vec![context.team_header()?];
    context.send_and_print(&request)
}

/// Waits until a job ends or the timeout expires.
///
/// # Errors
///
/// Returns an error that is not temporary at once. A temporary error is retried, and returned if
/// the timeout has expired.
pub fn wait(context: &CommandContext, args: &WaitArgs) -> CommandResult {
    let wait = args.timeout.min(LONG_POLL_WAIT);
    let mut request = ClientRequest::get(job_path(args.job, &format!("?wait_ms={wait}")));
    request.headers = vec![context.team_header()?];
    request.wait = Duration::from_millis(wait.0);
    let mut last_response = None;
    let end = poll(args.timeout, || {
        let response = context.client.send(&request)?;
        let end = decode_job(&response)?.end;
        last_response = Some(response);
        Ok(end)
    })?;
    if let Some(response) = &last_response {
        context.print(response)?;
    }
    match end {
        Some(JobEnd::Finished { .. }) => Ok(ExitStatus::Success),
        Some(_) => Ok(ExitStatus::Unfinished),
        None => {
            eprintln!("job {} has not ended", args.job);
            Ok(ExitStatus::Unfinished)
        }
    }
}

/// Sends a short request and prints the response of the endpoint.
///
/// # Errors
///
/// Returns why there is no response of an endpoint.
pub fn request(context: &CommandContext, args: &RequestArgs) -> CommandResult {
    let body = match &args.body_file {
        Some(path) => fs::read(path)
            .map_err(|error| ClientError::BadInput(format!("{}: {error}", path.display())))?,
        None => args.body.clone().into_bytes(),
    };
    let path = format!("/v1/requests/{}", encode_path_segment(&args.service));
    let mut request = ClientRequest::post(path, &body);
    request.content_type = "application/octet-stream";
    request.wait = Duration::from_millis(args.deadline.0);
    request.headers = vec![
        context.team_header()?,
        ("Mustardpath-Deadline-Ms", args.deadline.to_string()),
    ];
    if let Some(key) = &args.key {
        request.headers.push(("Idempotency-Key", key.clone()));
    }
    let response = context.client.send(&request)?;
    write_out(&response.body);
    if response.status < 400 {
        return Ok(ExitStatus::Success);
    }
    eprintln!("the endpoint returned HTTP status {}", response.status);
    Ok(ExitStatus::Unfinished)
}

fn job_path(job: JobId, suffix: &str) -> String {
    format!("/v1/jobs/{job}{suffix}")
}

fn decode_job(response: &ClientResponse) -> Result<JobView, ClientError> {
    match response.decode()? {
        CallerAnswer::Job(view) => Ok(view),
        _ => Err(ClientError::Malformed(
            "the response is not a job".to_owned(),
        )),
    }
}
