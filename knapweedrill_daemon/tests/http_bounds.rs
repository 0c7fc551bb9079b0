//! Limits of the HTTP server: slow, half-open and oversized requests affect other clients for a few
//! seconds at most.

mod http_support;

use std::io::Write as _;
use std::thread;
use std::time::{Duration, Instant};

use http_support::{
    assert_not_run, assert_served_promptly, connect, exchange, get, post, read_all, send, serve,
    serve_echo,
};
use knapweedrill_daemon::http::{HttpLimits, HttpResponse};

const HALF_OPEN_COUNT: usize = 300;

fn small_limits() -> HttpLimits {
    HttpLimits::builder()
        .body_bytes(10_000)
        .body_reader_count(4)
        .body_timeout(Duration::from_secs(1))
        .idle_timeout(Duration::from_millis(1_500))
        .build()
}

#[test]
fn oversized_body_is_rejected() {
    let server = serve_echo(small_limits());
    let answer = post(server.address(), &"x".repeat(10_001));
    assert_not_run(&answer, 413);
    assert!(answer.contains("larger than 10000 bytes"), "{answer}");
    assert_served_promptly(server.address());
}

#[test]
fn oversized_chunked_body_is_rejected() {
    let server = serve_echo(small_limits());
    let chunk = format!("2000\r\n{}\r\n", "x".repeat(0x2000));
    let request = format!(
        "POST / HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\
         Transfer-Encoding: chunked\r\n\r\n{chunk}{chunk}0\r\n\r\n"
    );
    assert_not_run(&exchange(server.address(), &request), 413);
}

#[test]
fn declared_length_beyond_available_memory_is_rejected() {
    let server = serve_echo(small_limits());
    let mut stream = connect(server.address());
    stream
        .write_all(b"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 999999999999999\r\n\r\n")
        .unwrap();
    let mut start = [0; 12];
    std::io::Read::read_exact(&mut stream, &mut start).unwrap();
    assert_eq!(&start, b"HTTP/1.1 413");
    assert_served_promptly(server.address());
}

#[test]
fn stalled_body_is_rejected_within_seconds() {
    let server = serve_echo(small_limits());
    let begin = Instant::now();
    let stream = send(
        server.address(),
        "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 5000\r\n\r\nbegin",
    );
    assert_not_run(&read_all(stream), 408);
    assert!(begin.elapsed() < Duration::from_secs(5));
}

#[test]
fn slow_bodies_block_other_bodies_for_seconds_only() {
    let server = serve_echo(small_limits());
    let address = server.address();
    let mut slow: Vec<_> = (0..4)
        .map(|_| {
            send(
                address,
                "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 9000\r\n\r\n",
            )
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    assert_not_run(&post(address, &"x".repeat(2_000)), 503);
    assert!(get(address, "/").starts_with("HTTP/1.1 200"));
    // A byte every 200 ms keeps each single read below the idle timeout.
    for _ in 0..10 {
        thread::sleep(Duration::from_millis(200));
        for stream in &mut slow {
            let _ = stream.write_all(b"x");
        }
    }
    assert_served_promptly(address);
}

#[test]
fn half_open_connections_do_not_affect_other_clients_and_are_closed() {
    let server = serve_echo(small_limits());
    let address = server.address();
    let begin = Instant::now();
    let half_open: Vec<_> = (0..HALF_OPEN_COUNT)
        .map(|index| match index % 3 {
            0 => connect(address),
            1 => send(address, "POST / HT"),
            _ => send(address, "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n"),
        })
        .collect();
    assert_served_promptly(address);
    for stream in half_open {
        read_all(stream);
    }
    assert!(
        begin.elapsed() < Duration::from_secs(10),
        "{:?}",
        begin.elapsed()
    );
    assert_served_promptly(address);
}

#[test]
fn clients_that_do_not_read_do_not_affect_others() {
    let limits = HttpLimits::builder()
        .idle_timeout(Duration::from_millis(1_500))
        .build();
    let server = serve(limits, |request| {
        let text = if request.url == "/large" {
            "x".repeat(32 << 20)
        } else {
            "small".to_owned()
        };
        request.responder.respond(HttpResponse::text(200, text));
    });
    let address = server.address();
    let _unread: Vec<_> = (0..8)
        .map(|_| send(address, "GET /large HTTP/1.1\r\nHost: t\r\n\r\n"))
        .collect();
    thread::sleep(Duration::from_millis(200));
    assert_served_promptly(address);
    // The write timeout releases the permits of the clients that don't read.
    let deadline = Instant::now() + Duration::from_secs(6);
    while server.in_flight_count() > 0 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(server.in_flight_count(), 0);
}

#[test]
fn requests_over_the_limit_are_rejected_immediately() {
    let limits = HttpLimits::builder().request_count(2).build();
    let server = serve(limits, |request| {
        thread::sleep(Duration::from_millis(600));
        request.responder.respond(HttpResponse::text(200, "slow"));
    });
    let address = server.address();
    let blocked: Vec<_> = (0..2)
        .map(|_| {
            send(
                address,
                "GET / HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n",
            )
        })
        .collect();
    thread::sleep(Duration::from_millis(200));
    let begin = Instant::now();
    let rejected = get(address, "/");
    assert_not_run(&rejected, 503);
    assert!(rejected.contains("Retry-After: "), "{rejected}");
    assert!(begin.elapsed() < Duration::from_millis(300));
    for stream in blocked {
        assert!(read_all(stream).ends_with("slow"));
    }
    assert!(get(address, "/").starts_with("HTTP/1.1 200"));
}

#[test]
fn idle_server_stays_reachable() {
    // The read timeout of the listener is shorter than the check interval of the watchdog, so that
    // accept loops end and are replaced continuously.
    let limits = HttpLimits::builder()
        .idle_timeout(Duration::from_millis(300))
        .build();
    let server = serve_echo(limits);
    for _ in 0..8 {
        thread::sleep(Duration::from_millis(450));
        assert_served_promptly(server.address());
    }
}
