//! The platform's machine list, as other writers may leave it.

use seamhatch_core::identity::Address;
use seamhatchd::store::{MachineState, read_machines};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one request with this body.
async fn serve(listener: TcpListener, body: Vec<u8>) {
    let (mut stream, _) = listener.accept().await.expect("accepts");
    let _ = stream.read(&mut [0; 4096]).await.expect("reads");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.expect("writes");
    stream.write_all(&body).await.expect("writes");
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Guards against a list that can't be followed any more because of one odd entry.
#[tokio::test]
async fn an_entry_that_cant_be_read_hides_no_other() {
    let mut odd: Vec<Vec<u8>> = [200, 10_000, 1_000_000].map(|depth| nested(depth).into_bytes()).to_vec();
    let texts = [
        "null",
        "1e999",
        r#"{"address":"1.2.3.4:70000","state":"live"}"#,
        r#"{"address":"999.1.1.1","state":"live"}"#,
        r#"{"address":"1.2.3.4","state":"resting"}"#,
        r#"{"address":"1.2.3.4"}"#,
        r#"{"address":"\ud800","state":"live"}"#,
        r#"{"address":"1.2.3.4","state":1e999}"#,
    ];
    odd.extend(texts.map(|text| text.as_bytes().to_vec()));
    odd.push(b"{\"address\":\"\xff\",\"state\":\"live\"}".to_vec());
    for entry in odd {
        let name = String::from_utf8_lossy(&entry[..entry.len().min(60)]).into_owned();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = Address::from(listener.local_addr().expect("is bound"));
        let last: &[u8] = br#"{"address":"10.0.0.1","state":"leaving"}"#;
        let body = [b"[", entry.as_slice(), b",", last, b"]"].concat();
        tokio::spawn(serve(listener, body));
        let machines = read_machines(address).await.expect(&name);
        let read: Vec<_> =
            machines.iter().map(|machine| (machine.address.to_string(), machine.state)).collect();
        assert_eq!(read, [("10.0.0.1".to_owned(), MachineState::Leaving)], "{name}");
    }
}
