//! Stand-ins of the directory and the database, after PROTOCOL.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// Answers HTTP requests: the function gets the head and the body, and writes the reply.
pub fn serve(answer: impl Fn(&str, &str, &mut TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                loop {
                    let (mut head, mut length) = (String::new(), 0);
                    loop {
                        let mut line = String::new();
                        if !matches!(reader.read_line(&mut line), Ok(1..)) {
                            return;
                        }
                        if let Some(text) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                            length = text.trim().parse().unwrap_or(0);
                        }
                        if line == "\r\n" {
                            break;
                        }
                        head.push_str(&line);
                    }
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    answer(&head, &String::from_utf8_lossy(&body), &mut writer);
                }
            });
        }
    });
    address
}

/// A directory that takes all reports.
pub fn directory() -> SocketAddr {
    serve(|_, _, to| drop(to.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")))
}

/// A database that answers each call with `reply to BODY`.
pub fn database() -> SocketAddr {
    serve(|_, body, to| {
        let reply = format!("reply to {body}");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", reply.len());
        let _ = to.write_all(format!("{head}{reply}").as_bytes());
    })
}
