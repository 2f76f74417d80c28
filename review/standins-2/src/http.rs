//! A small HTTP/1.1 server and client on threads.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    /// Path and query as they arrived.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// The query parameter `name`, decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.filter(|(key, _)| *key == name).last();
        found.map_or(String::new(), |(_, value)| {
            crate::json::percent_decode(value)
        })
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A whole response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Self {
        let headers = headers.iter();
        Self {
            status,
            headers: headers
                .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
                .collect(),
            body: body.into(),
        }
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let mut found = headers.iter();
    let found = found.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

/// What a handler does with a request: whole answers are written by the server, streams by the
/// handler itself.
pub enum Reply {
    Whole(Response),
    /// The handler has written its answer; the connection goes on if true.
    Written(bool),
}

/// Serves `handler` at `address` until the process ends.
pub fn serve<H>(address: SocketAddr, handler: H) -> io::Result<()>
where
    H: Fn(&Request, &mut TcpStream) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = converse(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn converse(
    mut stream: TcpStream,
    handler: &dyn Fn(&Request, &mut TcpStream) -> Reply,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let Some((first, headers)) = read_head(&mut stream, &mut buffer)? else {
            return Ok(());
        };
        let body = read_body(&mut stream, &mut buffer, &headers, false)?;
        let mut words = first.split(' ');
        let request = Request {
            method: words.next().unwrap_or_default().to_owned(),
            target: words.next().unwrap_or_default().to_owned(),
            headers,
            body,
        };
        match handler(&request, &mut stream) {
            Reply::Whole(response) => write_response(&mut stream, &response)?,
            Reply::Written(true) => {}
            Reply::Written(false) => return Ok(()),
        }
    }
}

fn write_response(stream: &mut TcpStream, response: &Response) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {} Status\r\n", response.status);
    for (name, value) in &response.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&response.body);
    stream.write_all(&bytes)
}

type Head = (String, Vec<(String, String)>);

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 16 * 1024];
    let read = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..read]);
    Ok(read > 0)
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Ok(Some((first, headers.collect())))
}

/// Reads a body with a length or in chunks; with `to_end`, one without either up to the end.
fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    headers: &[(String, String)],
    to_end: bool,
) -> io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = buffer.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                if !read_more(stream, buffer)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
            while buffer.len() < end + 2 + size + 2 {
                if !read_more(stream, buffer)? {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
            buffer.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = find(headers, "content-length");
    if length.is_empty() && to_end {
        while read_more(stream, buffer)? {}
        return Ok(std::mem::take(buffer));
    }
    let length: usize = length.parse().unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buffer.drain(..length).collect())
}

/// Sends one request on a new connection and waits at most `timeout` for each part of the
/// response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer)?;
    let (first, headers) = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let body = read_body(&mut stream, &mut buffer, &headers, true)?;
    Ok(Response {
        status: status.unwrap_or(0),
        headers,
        body,
    })
}
