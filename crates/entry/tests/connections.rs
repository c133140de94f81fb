//! HTTP/2 and TLS connections of callers.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_entry::TlsIdentity;
use dotterellane_fleet::CallOutcome;
use dotterellane_settings::daemon::TlsSettings;
use dotterellane_standins::FaultyRunner;
use dotterellane_units::TokenCount;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use support::{
    EntryEnvironment, chat_request, expected_text, model_entry, test_document, test_limits,
};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

fn http2_request(tokens: u64) -> Request<Full<Bytes>> {
    let mut request = chat_request(true, tokens, "hello");
    *request.uri_mut() = "http://entry/v1/chat/completions".parse().expect("an address");
    request.headers_mut().remove("host");
    request
}

async fn http2_text<S>(stream: S) -> String
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let executor = TokioExecutor::new();
    let (mut sender, driver) =
        hyper::client::conn::http2::handshake::<_, _, Full<Bytes>>(executor, TokioIo::new(stream))
            .await
            .expect("a handshake");
    tokio::spawn(driver);
    let response = sender.send_request(http2_request(5)).await.expect("a response");
    let body = response.into_body().collect().await.expect("a whole body").to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}

#[gtest]
#[tokio::test]
async fn stream_over_http2() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let entry = EntryEnvironment::start(&[runner.address()]).await;
    let stream = TcpStream::connect(entry.address).await.expect("a connection");
    let text = http2_text(stream).await;
    expect_that!(text, contains_substring("t4 "));
    expect_that!(text, ends_with("data: [DONE]\n\n"));
}

#[gtest]
#[tokio::test]
async fn stream_stalled_on_live_connection() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let mut document = test_document();
    let mut model = model_entry(Duration::from_secs(30));
    model.max_output = TokenCount(1_000_000);
    document.models.insert("planner".parse().expect("an id"), model);
    let limits = test_limits();
    let entry = EntryEnvironment::start_with(&[runner.address()], document, limits).await;
    let stream = TcpStream::connect(entry.address).await.expect("a connection");
    let (mut sender, driver) = hyper::client::conn::http2::handshake::<_, _, Full<Bytes>>(
        TokioExecutor::new(),
        TokioIo::new(stream),
    )
    .await
    .expect("a handshake");
    tokio::spawn(driver);
    // The stream's flow-control window fills up, while the connection stays usable.
    let stalled = sender.send_request(http2_request(1_000_000)).await.expect("a response");
    entry.settled().await;
    let fleet_released = entry.fleet.lock().expect("fleet").released.clone();
    expect_that!(fleet_released.last().expect("a permit").1, eq(CallOutcome::Abandoned));
    let other = sender.send_request(http2_request(5)).await.expect("a response");
    let body = other.into_body().collect().await.expect("a whole body").to_bytes();
    expect_that!(String::from_utf8_lossy(&body), ends_with("data: [DONE]\n\n"));
    // A caller that reads on finds an error event at the end, not a truncated stream.
    let body = stalled.into_body().collect().await.expect("an end").to_bytes();
    expect_that!(String::from_utf8_lossy(&body), contains_substring("request_timeout"));
}

struct CertificateFiles {
    settings: TlsSettings,
    directory: PathBuf,
}

impl CertificateFiles {
    fn create(name: &str) -> Self {
        let directory = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        let settings = TlsSettings {
            certificate_file: directory.join("certificate.pem"),
            key_file: directory.join("key.pem"),
        };
        let files = Self { settings, directory };
        files.replace();
        files
    }

    fn replace(&self) {
        let issued = rcgen::generate_simple_self_signed(["entry".to_owned()]).expect("issued");
        std::fs::write(&self.settings.certificate_file, issued.cert.pem()).expect("written");
        std::fs::write(&self.settings.key_file, issued.signing_key.serialize_pem())
            .expect("written");
    }

    /// Connects as a client that trusts only the certificate in the files.
    async fn connect(
        &self,
        entry: &EntryEnvironment,
    ) -> std::io::Result<impl AsyncRead + AsyncWrite + Unpin + Send + 'static> {
        let certificate = CertificateDer::from_pem_file(&self.settings.certificate_file);
        let mut roots = RootCertStore::empty();
        roots.add(certificate.expect("a certificate")).expect("a root");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("protocol versions")
            .with_root_certificates(roots)
            .with_no_client_auth();
        config.alpn_protocols = vec![b"h2".to_vec()];
        let stream = TcpStream::connect(entry.address).await?;
        let name = ServerName::try_from("entry").expect("a name");
        TlsConnector::from(Arc::new(config)).connect(name, stream).await
    }
}

impl Drop for CertificateFiles {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

#[gtest]
#[tokio::test]
async fn certificate_reloaded() {
    let runner = FaultyRunner::start().await.expect("a runner");
    let files = CertificateFiles::create("entry-certificate");
    let identity = TlsIdentity::load(files.settings.clone()).expect("a certificate");
    let entry = EntryEnvironment::start_tls(
        &[runner.address()],
        test_document(),
        test_limits(),
        identity.clone(),
    )
    .await;
    let stream = files.connect(&entry).await.expect("trusted");
    expect_that!(http2_text(stream).await, contains_substring("t4 "));
    files.replace();
    expect_that!(files.connect(&entry).await.is_err(), eq(true));
    expect_that!(identity.reload().expect("reloaded"), eq(true));
    expect_that!(identity.reload().expect("reloaded"), eq(false));
    let stream = files.connect(&entry).await.expect("trusted");
    expect_that!(http2_text(stream).await, contains_substring("t4 "));
    // If a file cannot be parsed, the current certificate stays in use.
    std::fs::write(&files.settings.key_file, "nothing").expect("written");
    expect_that!(identity.reload().is_err(), eq(true));
    files.connect(&entry).await.expect("trusted");
    let plain = response_to_plain_http(&entry).await;
    expect_that!(plain, not(contains_substring(expected_text(5))));
}

async fn response_to_plain_http(entry: &EntryEnvironment) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut stream = TcpStream::connect(entry.address).await.expect("a connection");
    let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n").await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}
