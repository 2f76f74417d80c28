//! The small HTTP server that the stand-ins share.

use redwing_standins::site::PlainServer;
use std::net::TcpListener;

/// Another program on the instance gets the port of a server that is down, and answers its
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_is_down_keeps_its_address() {
    let server = PlainServer::open("plain").await.unwrap();
    server.crash();
    while std::net::TcpStream::connect(server.address).is_ok() {
        tokio::task::yield_now().await;
    }
    let stranger = TcpListener::bind(server.address);
    assert!(stranger.is_err(), "{stranger:?}");
    server.restart("plain-again");
    while std::net::TcpStream::connect(server.address).is_err() {
        tokio::task::yield_now().await;
    }
}
