//! Broken answers of the services that a daemon asks: nothing in them is believed, so a write may or may not have been executed.

use seamhatch_core::identity::Address;
use seamhatchd::store::{StoreClient, StoreError, StoreExchange, read_machines};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Heads that can be read in two ways, or that are none, and what follows them.
const BROKEN: [&str; 11] = [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkedx\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 1x\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nodd\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx odd: a\r\n\r\n{}",
    "HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 600 OK\r\ncontent-length: 2\r\n\r\n{}",
    // The store says with these that it has done nothing.
    "HTTP/1.1 429 Busy\r\ntransfer-encoding: chunkedx\r\n\r\n{}",
    "HTTP/1.1 503 Busy\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "HTTP/1.1 412 Changed\r\ntransfer-encoding: x\r\n\r\n{\"items\":[]}",
];

/// Serves this answer to each request. Closes its connections in order.
async fn serve(answer: String) -> Address {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = Address::from(listener.local_addr().expect("is bound"));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await.expect("reads");
            stream.write_all(answer.as_bytes()).await.expect("writes");
        }
    });
    address
}

/// Guards against results that are read from an answer that can be understood in two ways.
#[tokio::test]
async fn a_broken_answer_of_the_store_is_a_lost_one() {
    for answer in BROKEN {
        let exchange = StoreExchange::new(serve(answer.to_owned()).await);
        let read = exchange.get("/some").await;
        assert!(matches!(read, Err(StoreError::AnswerLost { .. })), "read, {answer:?}: {read:?}");
        let written = exchange.post("/some", &[0]).await;
        assert!(matches!(written, Err(StoreError::AnswerLost { .. })), "write, {answer:?}: {written:?}");
    }
}

/// Guards against a write that counts as not executed because its answer can't be read.
#[tokio::test]
async fn a_write_whose_answer_cant_be_read_may_be_executed() {
    let unreadable = [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n{\"succeeded\":true}",
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n{\"succeeded\":true}",
    ];
    for answer in BROKEN.into_iter().chain(unreadable) {
        let store = StoreClient::new(serve(answer.to_owned()).await);
        let swapped = store.swap("key", 7, &"value").await;
        assert!(matches!(swapped, Err(StoreError::AnswerLost { .. })), "{answer:?}: {swapped:?}");
    }
}

/// Guards against a list of machines from an answer that can be understood in two ways.
#[tokio::test]
async fn a_broken_machine_list_is_none() {
    for answer in BROKEN {
        let address = serve(answer.replace("{}", "[]")).await;
        let machines = read_machines(address).await;
        assert!(machines.is_err(), "{answer:?}: {machines:?}");
    }
}
