//! Calls to workers over failing connections.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::Sender;

use mustardpath::control;
use mustardpath::control::EventReceiver;
use mustardpath::exchange::ExchangeTable;
use mustardpath::outbound;
use mustardpath::outbound::OutboundCall;
use mustardpath::outbound::OutboundContext;
use mustardpath_core::event::CallOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::TaskId;
use mustardpath_core::ids::TermNumber;
use mustardpath_core::ids::WriterId;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::WorkerCommand;
use mustardpath_core::worker::WorkerReply;

/// A pool of one call thread, for calls to a single worker.
struct TestCaller {
    calls: Sender<OutboundCall>,
    events: EventReceiver,
    address: String,
}

impl TestCaller {
    fn start(address: String) -> Self {
        let settings = common::settings(1);
        let (sender, events) = control::event_channel();
        let calls = outbound::spawn_calls(&OutboundContext {
            events: sender,
            exchanges: Arc::new(ExchangeTable::new(1)),
            writer: WriterId {
                daemon: "d1".into(),
                incarnation: 1,
            },
            settings: Arc::new(settings),
        })
        .expect("the threads start");
        Self {
            calls,
            events,
            address,
        }
    }

    fn call(&mut self, command: WorkerCommand) -> CallOutcome {
        self.calls
            .send(OutboundCall::Worker {
                call: CallId(1),
                worker: "w1".into(),
                address: self.address.clone(),
                command,
                timeout: TimeSpan::from_secs(2),
            })
            .expect("the thread runs");
        match self.events.blocking_recv() {
            Some(EventInput::WorkerCallCompleted { outcome, .. }) => outcome,
            other => panic!("unexpected event: {other:?}"),
        }
    }
}

fn renew() -> WorkerCommand {
    WorkerCommand::Renew {
        ttl: TimeSpan::from_secs(45),
        seen: 0,
        report_to: "127.0.0.1:1".into(),
    }
}

fn checkpoint() -> WorkerCommand {
    let task = TaskId {
        job: JobId(1),
        attempt: 1,
        member: 0,
    };
    let term = TermNumber(1);
    WorkerCommand::Checkpoint { term, task }
}

/// Responds to the first `response_count` requests on a connection and ignores further ones.
fn serve(mut stream: TcpStream, response_count: usize) {
    let mut buffer = [0; 4_096];
    let mut sent_count = 0;
    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {
        // A command arrives together with its headers in one read, so a read that contains the
        // closing brace of the body is a complete request.
        let text = String::from_utf8_lossy(&buffer);
        if sent_count < response_count && text.contains('}') {
            let body = r#"{"reply":"done"}"#;
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream
                .write_all(format!("{head}{body}").as_bytes())
                .expect("a response");
            sent_count += 1;
        }
        buffer = [0; 4_096];
    }
}

/// Guards against a worker that is considered silent because an established connection to it has
/// stalled. A renewal is retried over a new connection, and later commands bypass the pool.
#[test]
fn a_stalled_connection_does_not_make_its_worker_silent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let response_count = if number == 0 { 1 } else { usize::MAX };
            let stream = stream.expect("connection");
            thread::spawn(move || serve(stream, response_count));
        }
    });
    let mut caller = TestCaller::start(address);
    let done = CallOutcome::Reply {
        reply: WorkerReply::Done,
    };
    assert_eq!(caller.call(renew()), done, "over the first connection");
    assert_eq!(caller.call(renew()), done, "over a new connection");
    assert_eq!(caller.call(checkpoint()), done, "bypassing the stalled one");
}

/// Guards against reporting "undelivered" for a command that arrived without a response.
#[test]
fn a_command_without_a_response_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("connection");
            thread::spawn(move || serve(stream, 0));
        }
    });
    let mut caller = TestCaller::start(address);
    assert_eq!(caller.call(checkpoint()), CallOutcome::Unknown);
}
