//! The case `streams`: the memory of an entry with many open streams.

use super::{
    LoadError,
    Outcome,
    Row,
    RunOptions,
    row::Aim,
    usage, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream, //
};

/// The number of open streams.
const STREAMS: usize = 1_000;

/// A request whose body begins and never ends; `/echo` streams it back.
const STREAM_REQUEST: &str = "POST /v1/app/tema/weighbridge/echo HTTP/1.1\r\nhost: entry\r\n\
    redwing-deadline-ms: 60000\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";

/// Runs the case against the entry given by `--entry` and `--pid`.
pub async fn measure(run: RunOptions) -> Result<Outcome, LoadError> {
    let Some((entry, pid)) = run.process else {
        let what = "an entry's memory without `--entry` and `--pid`".to_owned();
        return Err(LoadError::NotMeasured { what });
    };
    let pid = pid.to_string();
    let idle = usage::process_memory(&pid);
    let mut streams = Vec::with_capacity(STREAMS);
    for _ in 0..STREAMS {
        streams.push(open_stream(entry).await?);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let full = usage::process_memory(&pid);
    if idle == 0 || full == 0 {
        let what = format!("the memory of process {pid}");
        return Err(LoadError::NotMeasured { what });
    }
    drop(streams);
    let megabytes = |bytes: u64| Some(bytes as f64 / 1e6);
    let each = full.saturating_sub(idle) as f64 / STREAMS as f64;
    Ok(Outcome {
        results: vec![
            Row::new("idle", "MB", None, megabytes(idle), Aim::AtMost(20.0)),
            Row::new(
                "with 1,000 streams",
                "MB",
                None,
                megabytes(full),
                Aim::AtMost(64.0),
            ),
            Row::new("each stream", "B", None, Some(each), Aim::None),
        ],
        ..Outcome::default()
    })
}

/// Opens a stream and waits until its answer has begun.
async fn open_stream(entry: SocketAddr) -> Result<TcpStream, LoadError> {
    let mut stream = TcpStream::connect(entry).await?;
    stream.write_all(STREAM_REQUEST.as_bytes()).await?;
    let mut first = [0; 1_024];
    let mut answer = String::new();
    while !answer.contains("hello") {
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut first)).await;
        let read = read.map_err(std::io::Error::other)??;
        answer.push_str(&String::from_utf8_lossy(&first[..read]));
        if read == 0 || answer.contains("problem+json") {
            let what = format!("a stream that was refused: {answer}");
            return Err(LoadError::NotMeasured { what });
        }
    }
    Ok(stream)
}
