//! A scripted node that answers each request with raw bytes and closes the connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request that the node has received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method and path.
    pub line: String,
    /// The request head in lower case.
    pub head: String,
    /// The body.
    pub body: String,
}

impl Request {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines();
        lines.filter_map(|line| line.split_once(": ")).find(|(key, _)| *key == name).map(|it| it.1)
    }
}

/// A running scripted node.
#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl Node {
    /// Starts a node that answers with `answer`. Its arguments are the request and the
    /// number of earlier requests, not counting queries for the entry address.
    pub fn spawn(answer: impl Fn(&Request, usize) -> String + Send + 'static) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
        let address = listener.local_addr().expect("address");
        let node = Self { address, requests: Arc::default() };
        let requests = node.requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let request = read_request(&stream);
                let mut requests = requests.lock().expect("lock");
                let number =
                    requests.iter().filter(|request| request.line != "GET /v1/entry").count();
                requests.push(request.clone());
                drop(requests);
                let text = answer(&request, number);
                (&stream).write_all(text.as_bytes()).ok();
            }
        });
        node
    }

    /// Returns the requests so far, without queries for the entry address.
    pub fn requests(&self) -> Vec<Request> {
        let requests = self.requests.lock().expect("lock");
        requests.iter().filter(|request| request.line != "GET /v1/entry").cloned().collect()
    }

    /// Returns the number of queries for the entry address.
    pub fn entry_queries(&self) -> usize {
        let requests = self.requests.lock().expect("lock");
        requests.iter().filter(|request| request.line == "GET /v1/entry").count()
    }
}

fn read_request(stream: &TcpStream) -> Request {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while reader.read_line(&mut head).unwrap_or(0) > 2 {}
    let line = head.lines().next().unwrap_or_default();
    let line = line.trim_end_matches(" HTTP/1.1").to_owned();
    let mut request = Request { line, head: head.to_lowercase(), body: String::new() };
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    reader.take(length).read_to_string(&mut request.body).ok();
    request
}

/// Returns a response whose body ends when the connection closes.
pub fn respond(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nconnection: close\r\n{headers}\r\n{body}")
}

/// Returns an answer to a query for the entry address.
pub fn entry(address: SocketAddr, alternates: &[SocketAddr]) -> String {
    let alternates: Vec<_> = alternates.iter().map(|at| format!("{:?}", at.to_string())).collect();
    let alternates = alternates.join(",");
    let body =
        format!("{{\"address\":\"{address}\",\"alternates\":[{alternates}],\"keep_ms\":60000}}");
    respond(200, "content-type: application/json\r\n", &body)
}

/// Returns an event with one token.
pub fn token(seq: u64, text: &str) -> String {
    format!("id: {seq}\ndata: {{\"choices\":[{{\"text\":{text:?},\"finish_reason\":null}}]}}\n\n")
}

/// Returns the end marker of a stream.
pub fn end(count: u64) -> String {
    format!(
        "data: {{\"choices\":[{{\"text\":\"\",\"finish_reason\":\"length\"}}],\
         \"usage\":{{\"prompt_tokens\":1,\"completion_tokens\":{count}}}}}\n\ndata: [DONE]\n\n"
    )
}

/// Returns a refusal.
pub fn refusal(status: u16, reason: &str, ran: &str, retry_after_ms: Option<u64>) -> String {
    let retry = retry_after_ms.map(|ms| format!(",\"retry_after_ms\":{ms}")).unwrap_or_default();
    let body = format!("{{\"reason\":\"{reason}\",\"ran\":\"{ran}\"{retry}}}");
    respond(status, "content-type: application/problem+json\r\n", &body)
}

/// The head of a streamed answer.
pub const STREAM: &str = "content-type: text/event-stream\r\nx-request-id: r1\r\n";
