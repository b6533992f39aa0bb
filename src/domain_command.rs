//! Subcommands on failure domains.

use crate::access::confirm;
use crate::arguments::DomainInArgs;
use crate::arguments::DomainOutArgs;
use crate::arguments::DomainSubcommand;
use crate::client::ClientError;
use crate::client::ClientRequest;
use crate::client::ClientResponse;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::command::poll;
use crate::exit::ExitStatus;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::DomainView;

/// HTTP path for failure domains.
const DOMAINS_PATH: &str = "/v1/domains";

#[derive(serde::Serialize)]
struct DomainBody<'c> {
    domain: &'c str,
    out: bool,
    operator: &'c str,
    confirmed: bool,
}

/// Runs a subcommand on failure domains.
///
/// # Errors
///
/// Returns why there is no result.
pub fn run(context: &CommandContext, subcommand: &DomainSubcommand) -> CommandResult {
    match subcommand {
        DomainSubcommand::Out(args) => take_out(context, args),
        DomainSubcommand::In(args) => bring_in(context, args),
        DomainSubcommand::Status(_) => context.send_and_print(&ClientRequest::get(DOMAINS_PATH)),
    }
}

fn bring_in(context: &CommandContext, args: &DomainInArgs) -> CommandResult {
    let body = DomainBody {
        domain: &args.domain,
        out: false,
        operator: &args.operator,
        confirmed: false,
    };
    context.print(&post(context, &body)?)?;
    Ok(ExitStatus::Success)
}

fn take_out(context: &CommandContext, args: &DomainOutArgs) -> CommandResult {
    if !args.yes && !confirm(&confirmation_prompt(context, &args.domain)?) {
        eprintln!("not sent: taking a failure domain out requires confirmation or --yes");
        return Ok(ExitStatus::Declined);
    }
    let mut body = DomainBody {
        domain: &args.domain,
        out: true,
        operator: &args.operator,
        confirmed: args.yes,
    };
    match post(context, &body) {
        Ok(_) => {}
        Err(error) if breaks_guarantee(&error) => {
            if !confirm(&format!("{error}. Take {} out anyway?", args.domain)) {
                return Err(error);
            }
            body.confirmed = true;
            post(context, &body)?;
        }
        // The daemon holds the failure domain out even while the log is unreachable.
        Err(error) if error.exit_status() == ExitStatus::Unknown => eprintln!("{error}"),
        Err(error) => return Err(error),
    }
    wait_for_confirmation(context, args)
}

/// Returns the prompt for the confirmation, with the number of tasks that are affected.
fn confirmation_prompt(context: &CommandContext, domain: &str) -> Result<String, ClientError> {
    let response = context.client.send(&ClientRequest::get(DOMAINS_PATH))?;
    let view = find_domain(&response, domain)?
        .ok_or_else(|| ClientError::BadInput(format!("unknown failure domain {domain}")))?;
    let (workers, tasks) = (view.workers, view.tasks);
    Ok(format!(
        "Take {domain} out? Its {tasks} tasks on {workers} workers will be moved or stopped."
    ))
}

fn breaks_guarantee(error: &ClientError) -> bool {
    matches!(error, ClientError::Problem(problem) if problem.kind.ends_with("breaks_guarantee"))
}

fn post(context: &CommandContext, body: &DomainBody<'_>) -> Result<ClientResponse, ClientError> {
    let body =
        serde_json::to_vec(body).map_err(|error| ClientError::BadInput(error.to_string()))?;
    context
        .client
        .send(&ClientRequest::post(DOMAINS_PATH, &body))
}

fn wait_for_confirmation(context: &CommandContext, args: &DomainOutArgs) -> CommandResult {
    let mut last_response = None;
    let result = poll(args.timeout, || {
        let response = context.client.send(&ClientRequest::get(DOMAINS_PATH))?;
        let view = find_domain(&response, &args.domain)?;
        last_response = Some((response, view.clone()));
        Ok(view.filter(is_confirmed_everywhere))
    });
    let Some((response, view)) = last_response else {
        return result.map(|_| ExitStatus::Unfinished);
    };
    context.print(&response)?;
    if result?.is_some() {
        eprintln!("{} is out at each live daemon", args.domain);
        return Ok(ExitStatus::Success);
    }
    eprintln!("{}", pending_message(&args.domain, view.as_ref()));
    Ok(ExitStatus::Unfinished)
}

fn is_confirmed_everywhere(view: &DomainView) -> bool {
    view.out && view.recorded && view.unconfirmed.is_empty()
}

fn pending_message(domain: &str, view: Option<&DomainView>) -> String {
    match view {
        Some(view) if view.out && view.unconfirmed.is_empty() => {
            format!("{domain} is out at each live daemon, but not on record yet")
        }
        Some(view) if view.out => {
            let names: Vec<_> = view.unconfirmed.iter().map(ToString::to_string).collect();
            format!("{domain} is not confirmed out by {}", names.join(" "))
        }
        _ => format!("{domain} is not out at the daemon that responded"),
    }
}

fn find_domain(response: &ClientResponse, domain: &str) -> Result<Option<DomainView>, ClientError> {
    match response.decode()? {
        CallerAnswer::Domains { domains } => Ok(domains
            .into_iter()
            .find(|view| view.domain.as_str() == domain)),
        _ => Err(ClientError::Malformed(
            "the response is not a list of failure domains".to_owned(),
        )),
    }
}
