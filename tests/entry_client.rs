//! HTTP client of the daemon on the users' platform.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use tokio::task::LocalSet;

use mustardpath::entry::client::CallError;
use mustardpath::entry::client::CallPool;
use mustardpath::entry::client::CallResponse;
use mustardpath_platform::http::HttpRequest;

/// Time limit for the response headers.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two chunks of a body.
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of chunks of a body. Sending all of them takes twice as long as [`RESPONSE_TIMEOUT`].
const CHUNK_COUNT: usize = 20;

/// One chunk of a body.
const CHUNK: &[u8] = &[b'x'; 100];

/// Serves one call and sends the first `chunk_count` chunks of its response body.
fn serve(chunk_count: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        send_response(stream, chunk_count);
    });
    address
}

fn send_response(mut stream: TcpStream, chunk_count: usize) {
    let mut head = [0; 1_000];
    let _ = stream.read(&mut head).expect("a request");
    let length = CHUNK_COUNT * CHUNK.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    for _ in 0..chunk_count {
        thread::sleep(CHUNK_INTERVAL);
        stream.write_all(CHUNK).expect("a part is sent");
    }
    // Keep the connection open until the client closes it.
    let _ = stream.read(&mut [0]);
}

fn call(address: &str) -> Result<CallResponse, CallError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .expect("a runtime");
    let pool = CallPool::default();
    let request = HttpRequest {
        method: "GET",
        path: "/page".into(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    LocalSet::new().block_on(&runtime, pool.call(address, request, RESPONSE_TIMEOUT))
}

/// Guards against a total time limit for large pages. Daemons that aborted and repeated such reads
/// never loaded their jobs and kept the link between the regions saturated (issue 17).
#[test]
fn a_slow_body_is_read_completely() {
    let reply = call(&serve(CHUNK_COUNT)).expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body.len(), CHUNK_COUNT * CHUNK.len());
}

/// Guards against a call that never returns because its connection stalls within the body.
#[test]
fn a_stalled_body_times_out() {
    let failure = call(&serve(CHUNK_COUNT / 2)).expect_err("the body is not whole");
    assert_eq!(failure, CallError::Unknown);
}
