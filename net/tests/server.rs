//! Tests of the server side over real sockets, with slow, broken and overlong clients.
use rockpick_net::{http, Call, CallEnd, Event, Net, MS, SEC};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Starts an echo server on a thread that answers with method and body, and to `/slow` after 100 ms. Returns its
/// address and the number of clients that closed before they were answered.
fn echo(max_clients: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let (mut net, closed) = (Net::new(max_clients).unwrap(), Arc::new(AtomicUsize::new(0)));
    (net.head_timeout, net.body_timeout) = (300 * MS, 300 * MS);
    let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let count = closed.clone();
    std::thread::spawn(move || {
        let (mut events, mut waiting) = (Vec::new(), Vec::new());
        loop {
            net.turn(&mut events, SEC).unwrap();
            for event in std::mem::take(&mut events) {
                match event {
                    Event::Request { conn, request } if request.target == "/slow" => {
                        waiting.push(conn);
                        net.wake_at(net.now() + 100 * MS, waiting.len() as u64);
                    }
                    Event::Request { conn, request } => {
                        let body = [request.method.as_bytes(), b" ", &request.body].concat();
                        net.answer(conn, 200, &[], &body);
                    }
                    Event::Timer { tag } => net.answer(waiting[tag as usize - 1], 200, &[], b"slow"),
                    Event::ClientClosed { .. } => {
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                    _ => {}
                }
            }
        }
    });
    (at, closed)
}

fn send(at: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut io = TcpStream::connect(at).unwrap();
    io.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    io.write_all(bytes).unwrap();
    io
}

/// Reads until the connection closes or `until` is received.
fn read(io: &mut TcpStream, until: &str) -> String {
    let (mut all, mut buf) = (Vec::new(), [0; 4096]);
    while !String::from_utf8_lossy(&all).contains(until) || until.is_empty() {
        match io.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(n) => all.extend_from_slice(&buf[..n]),
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

#[test]
fn pipelined_requests_are_answered_in_order_one_at_a_time() {
    let (at, _) = echo(10);
    let one = "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1";
    let rest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwoPUT / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree";
    let said = read(&mut send(at, format!("{one}{rest}").as_bytes()), "");
    let order: Vec<usize> = ["slow", "POST two", "PUT three"].iter().map(|w| said.find(w).unwrap()).collect();
    assert!(order.is_sorted(), "{said}");
}

#[test]
fn chunked_bodies_expectations_and_head_are_served() {
    let (at, _) = echo(10);
    let mut io = send(at, b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    io.write_all(b"2\r\nde\r\n0\r\n\r\n").unwrap();
    assert!(read(&mut io, "abcde").contains("POST abcde"));
    let mut io = send(at, b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assert!(read(&mut io, "\r\n\r\n").starts_with("HTTP/1.1 100 Continue\r\n"));
    io.write_all(b"hi").unwrap();
    assert!(read(&mut io, "hi").contains("200 OK"));
    let said = read(&mut send(at, b"HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), "");
    assert!(said.contains("Content-Length: 5") && said.ends_with("\r\n\r\n"), "{said}");
}

#[test]
fn broken_requests_get_their_status_and_the_connection_closes() {
    let (at, _) = echo(10);
    let long = format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(http::MAX_HEAD));
    let big = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    let two = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n";
    let both =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    for (bytes, status) in [
        (long.as_str(), "431"),
        (big, "400"),
        (two, "400"),
        (both, "400"),
        ("GET / HTTP/1.1\nHost: a\n\n", "400"),
        ("GET / HTTP/1.1\r\nHost: a\r\n X: b\r\n\r\n", "400"),
        ("\x16\x03\x01\x02\x00\x01\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\nHost: a\r\nExpect: x\r\n\r\n", "417"),
    ] {
        let said = read(&mut send(at, bytes.as_bytes()), "");
        assert!(said.starts_with(&format!("HTTP/1.1 {status} ")), "{bytes:.60}: {said}");
        assert_eq!(said.matches("HTTP/1.1").count(), 1, "data after the response: {said}");
    }
}

#[test]
fn slow_senders_get_408() {
    let (at, _) = echo(10);
    for part in ["GET / HT", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab"] {
        assert!(read(&mut send(at, part.as_bytes()), "").starts_with("HTTP/1.1 408 "), "{part}");
    }
}

#[test]
fn a_client_that_closes_before_its_answer_is_reported() {
    let (at, closed) = echo(10);
    let mut io = send(at, b"POST /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    io.shutdown(Shutdown::Write).unwrap();
    assert_eq!(read(&mut io, ""), "");
    // The next connection is answered after the close of the first one is reported.
    read(&mut send(at, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "GET");
    assert_eq!(closed.load(Ordering::SeqCst), 1);
    // Closed in the middle of a head: no request waited for an answer.
    drop(send(at, b"GET / HTT"));
    read(&mut send(at, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "GET");
    assert_eq!(closed.load(Ordering::SeqCst), 1);
}

#[test]
fn connections_over_the_limit_get_503_and_the_others_are_served() {
    let (at, _) = echo(2);
    let ask = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let (mut a, mut b) = (send(at, ask), send(at, ask));
    read(&mut a, "GET ");
    read(&mut b, "GET ");
    let said = read(&mut send(at, b""), "");
    assert!(said.starts_with("HTTP/1.1 503 ") && said.contains("Rockpick-Answer: pushed-back"), "{said}");
    a.write_all(ask).unwrap();
    assert!(read(&mut a, "GET ").contains("200 OK"));
}

#[test]
fn a_response_that_has_arrived_precedes_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut net = Net::new(1).unwrap();
    let mut events = Vec::new();
    let to = listener.local_addr().unwrap();
    let request = http::encode_request("GET", "/", "a", &[], b"");
    net.call(
        &mut events,
        Call { to, request: &request, connect_within: SEC, stream: false, head_only: false },
    );
    net.turn(&mut events, SEC).unwrap();
    let (mut io, _) = listener.accept().unwrap();
    io.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").unwrap();
    // When the loop polls, the deadline has passed and the response has arrived.
    net.wake_at(0, 7);
    std::thread::sleep(Duration::from_millis(5));
    while events.len() < 2 {
        net.turn(&mut events, SEC).unwrap();
    }
    assert!(
        matches!(&events[0], Event::CallEnded { end: CallEnd::Answer(r), .. } if r.body == b"hi"),
        "{events:?}"
    );
    assert!(matches!(events[1], Event::Timer { tag: 7 }));
}

#[test]
fn call_ends_tell_whether_the_request_may_have_run() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let scripted = |answer: &'static [u8]| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let (mut io, _) = listener.accept().unwrap();
            let mut buf = [0; 4096];
            let _ = io.read(&mut buf);
            let _ = io.write_all(answer);
        });
        at
    };
    let end = |to: SocketAddr| {
        let (mut net, mut events) = (Net::new(1).unwrap(), Vec::new());
        let request = http::encode_request("GET", "/", "a", &[], b"");
        net.call(
            &mut events,
            Call { to, request: &request, connect_within: SEC, stream: false, head_only: false },
        );
        loop {
            for event in std::mem::take(&mut events) {
                if let Event::CallEnded { end, .. } = event {
                    return format!("{end:?}").split(['(', ' ']).next().unwrap().to_string();
                }
            }
            net.turn(&mut events, SEC).unwrap();
        }
    };
    assert_eq!(end(closed), "Unreachable");
    assert_eq!(end(scripted(b"")), "Broken");
    assert_eq!(end(scripted(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")), "Broken");
    assert_eq!(end(scripted(b"SSH-2.0-x\r\n\r\n")), "Broken");
    assert_eq!(
        end(scripted(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab")),
        "Broken"
    );
    assert_eq!(end(scripted(b"HTTP/1.1 200 OK\r\n\r\nuntil it closes")), "Answer");
    assert_eq!(end(scripted(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")), "Answer");
}

/// A loop, a client socket that has sent `request`, and the body of `length` bytes for each response.
fn answering_loop(length: usize, request: &[u8]) -> (Net, TcpStream, Vec<u8>) {
    let mut net = Net::new(4).unwrap();
    let (_, at) = net.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    (net.head_timeout, net.write_timeout) = (300 * MS, 300 * MS);
    (net, send(at, request), vec![b'x'; length])
}

/// Runs the loop until `over` or for ten seconds; returns the number of requests.
fn run_until(net: &mut Net, body: &[u8], over: impl Fn(&Net, usize) -> bool) -> usize {
    let (mut events, mut requests) = (Vec::new(), 0);
    while !over(net, requests) && net.clock() < 10 * SEC {
        net.turn(&mut events, 20 * MS).unwrap();
        for event in std::mem::take(&mut events) {
            if let Event::Request { conn, .. } = event {
                requests += 1;
                net.answer(conn, 200, &[], body);
            }
        }
    }
    requests
}

const GET: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Guards against a client that reads nothing of its response being kept for the five minutes of an idle connection
/// instead of the write timeout of thirty seconds (here 0.3).
#[test]
fn a_client_that_reads_nothing_is_closed_after_the_write_timeout() {
    let (mut net, _client, body) = answering_loop(32 << 20, GET.as_bytes());
    run_until(&mut net, &body, |net, requests| requests == 1 && net.open().0 == 0);
    assert!(net.clock() < 10 * SEC);
}

/// Guards against a client that sends and never reads filling the memory: only one response at a time is buffered.
#[test]
fn pipelined_requests_of_a_client_that_never_reads_do_not_fill_the_memory() {
    let (mut net, _client, body) = answering_loop(256 * 1024, GET.repeat(2_000).as_bytes());
    let requests =
        run_until(&mut net, &body, |net, requests| requests == 2_000 || requests > 0 && net.open().0 == 0);
    assert!(requests < 200, "{requests} responses of 256 KiB");
}

/// Guards against half a head behind a whole request escaping the head timeout: its time starts with the response.
#[test]
fn half_a_request_behind_another_gets_408() {
    let (mut net, mut client, body) = answering_loop(2, format!("{GET}GET / HT").as_bytes());
    run_until(&mut net, &body, |net, requests| requests == 1 && net.open().0 == 0);
    assert!(read(&mut client, "").contains("HTTP/1.1 408 "));
}
