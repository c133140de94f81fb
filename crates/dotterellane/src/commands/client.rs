//! A client of the administration API.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dotterellane_admin::problem::ApiProblem;
use dotterellane_settings::keys::OperatorKey;
use http::header::{AUTHORIZATION, CONTENT_TYPE, ETAG, HOST, HeaderValue, IF_MATCH};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use miette::Diagnostic;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_rustls::TlsConnector;

use crate::cli::operators::ConnectionArguments;

/// Longest wait for an answer; a change may wait 30 s to be in force.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Environment variable that may hold the operator's key itself.
const KEY_VARIABLE: &str = "DOTTERELLANE_OPERATOR_KEY";
const HTTP_PORT: u16 = 80;
const HTTPS_PORT: u16 = 443;

/// Why the administration API did not do what it was asked.
#[derive(Debug)]
#[derive(Diagnostic, Error)]
pub enum ClientError {
    /// No operator's key was given.
    #[error("no operator's key was given")]
    #[diagnostic(help("give --key-file FILE or set {KEY_VARIABLE}"))]
    NoKey,
    /// An argument or a file cannot be used.
    #[error("{step}: {cause}")]
    Input {
        /// What was done.
        step: String,
        /// What was seen.
        cause: String,
    },
    /// The host did not answer.
    #[error("{step} {server}: {cause}")]
    #[diagnostic(help(
        "any host of the fleet can be asked; if the request was a change, `config history` \
        tells whether it was made"
    ))]
    Unreachable {
        /// What was done.
        step: &'static str,
        /// Whom it was asked of.
        server: String,
        /// What was seen.
        cause: String,
    },
    /// The host refused.
    #[error("{} ({status})", problem.message)]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// What the host said.
        problem: Box<ApiProblem>,
    },
}

/// A client of one host's administration API.
#[derive(Debug)]
pub struct ApiClient {
    server: Uri,
    key: OperatorKey,
    tls: Option<Arc<ClientConfig>>,
}

/// An answer before its body is understood.
#[derive(Debug)]
pub struct ApiAnswer {
    /// Version of the document that the answer holds.
    pub version: Option<u64>,
    /// The body.
    pub text: String,
}

impl ApiClient {
    /// Reads the key and prepares the connection.
    ///
    /// # Errors
    /// Fails if there is no key, or the address or a file cannot be used.
    pub fn new(connection: &ConnectionArguments) -> Result<Self, ClientError> {
        let input = |cause: String| ClientError::Input { step: connection.server.clone(), cause };
        let server: Uri = connection.server.parse().map_err(|error| input(format!("{error}")))?;
        let tls = match server.scheme_str() {
            Some("http") => None,
            Some("https") => Some(tls_config(connection.ca_file.as_deref())?),
            _ => return Err(input("write http://HOST:PORT or https://HOST:PORT".to_owned())),
        };
        let key = read_key(connection.key_file.as_deref())?;
        Ok(Self { server, key, tls })
    }

    /// Reads something.
    ///
    /// # Errors
    /// Fails if the host does not answer or refuses.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.parse(self.send(Method::GET, path, None, String::new()).await?)
    }

    /// Reads a text and its version.
    ///
    /// # Errors
    /// Fails if the host does not answer or refuses.
    pub async fn get_text(&self, path: &str) -> Result<ApiAnswer, ClientError> {
        self.send(Method::GET, path, None, String::new()).await
    }

    /// Sends an order with a JSON body.
    ///
    /// # Errors
    /// Fails if the host does not answer or refuses.
    pub async fn order<B, T>(&self, method: Method, path: &str, body: &B) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_string(body).expect("an order is plain data");
        self.parse(self.send(method, path, None, body).await?)
    }

    /// Sends a text that was made from version `from` of the document.
    ///
    /// # Errors
    /// Fails if the host does not answer or refuses.
    pub async fn send_from<T>(
        &self,
        method: Method,
        path: &str,
        from: u64,
        text: String,
    ) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.parse(self.send(method, path, Some(from), text).await?)
    }

    fn parse<T>(&self, answer: ApiAnswer) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        serde_json::from_str(&answer.text).map_err(|error| {
            self.unreachable("reading the answer of", format!("not as expected: {error}"))
        })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        from: Option<u64>,
        body: String,
    ) -> Result<ApiAnswer, ClientError> {
        let request = self.request(method, path, from, body)?;
        let exchange = timeout(ANSWER_TIMEOUT, self.exchange(request)).await;
        let (status, answer) = exchange.map_err(|_| {
            self.unreachable("waiting for", format!("no answer in {ANSWER_TIMEOUT:?}"))
        })??;
        if status.is_success() {
            return Ok(answer);
        }
        match serde_json::from_str(&answer.text) {
            Ok(problem) => Err(ClientError::Refused { status, problem }),
            Err(_) => Err(self.unreachable("asking", format!("answered {status}"))),
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        from: Option<u64>,
        body: String,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let host = self.server.authority().map_or("", |authority| authority.as_str());
        let mut bearer = HeaderValue::from_str(&format!("Bearer {}", self.key.expose()))
            .expect("ids and hex digits make a header value");
        bearer.set_sensitive(true);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, host)
            .header(AUTHORIZATION, bearer)
            .header(CONTENT_TYPE, "application/json");
        if let Some(version) = from {
            request = request.header(IF_MATCH, format!("\"{version}\""));
        }
        request.body(Full::new(Bytes::from(body))).map_err(|error| ClientError::Input {
            step: format!("asking for {path}"),
            cause: error.to_string(),
        })
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, ApiAnswer), ClientError> {
        let host = self.server.host().unwrap_or_default();
        let default_port = if self.tls.is_some() { HTTPS_PORT } else { HTTP_PORT };
        let port = self.server.port_u16().unwrap_or(default_port);
        let fail = |error: std::io::Error| self.unreachable("connecting to", error.to_string());
        let address = (host.trim_matches(['[', ']']), port);
        let stream = TcpStream::connect(address).await.map_err(fail)?;
        let response = match &self.tls {
            None => self.talk(stream, request).await?,
            Some(config) => {
                let name = ServerName::try_from(address.0.to_owned())
                    .map_err(|error| self.unreachable("naming", error.to_string()))?;
                let connector = TlsConnector::from(config.clone());
                let stream = connector.connect(name, stream).await.map_err(fail)?;
                self.talk(stream, request).await?
            }
        };
        let (parts, body) = response.into_parts();
        let failed = |error: hyper::Error| self.unreachable("reading from", error.to_string());
        let bytes = body.collect().await.map_err(failed)?.to_bytes();
        let tag = parts.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok((parts.status, ApiAnswer { version, text }))
    }

    async fn talk<S>(
        &self,
        stream: S,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let failed = |error: hyper::Error| self.unreachable("asking", error.to_string());
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(failed)?;
        tokio::spawn(connection);
        sender.send_request(request).await.map_err(failed)
    }

    fn unreachable(&self, step: &'static str, cause: String) -> ClientError {
        ClientError::Unreachable { step, server: self.server.to_string(), cause }
    }
}

fn read_key(file: Option<&Path>) -> Result<OperatorKey, ClientError> {
    let (step, text) = match file {
        Some(path) => {
            let step = format!("reading {}", path.display());
            let text = fs::read_to_string(path).map_err(|error| ClientError::Input {
                step: step.clone(),
                cause: error.to_string(),
            })?;
            (step, text)
        }
        None => {
            let text = std::env::var(KEY_VARIABLE).map_err(|_| ClientError::NoKey)?;
            (format!("reading {KEY_VARIABLE}"), text)
        }
    };
    let parsed = text.trim().parse();
    parsed.map_err(|error| ClientError::Input { step, cause: format!("{error}") })
}

fn tls_config(ca_file: Option<&Path>) -> Result<Arc<ClientConfig>, ClientError> {
    let step = "trusting the https server".to_owned();
    let refuse = |cause: String| ClientError::Input { step: step.clone(), cause };
    let path = ca_file.ok_or_else(|| refuse("give --ca-file FILE".to_owned()))?;
    let certificates =
        CertificateDer::pem_file_iter(path).map_err(|error| refuse(error.to_string()))?;
    let mut roots = RootCertStore::empty();
    for certificate in certificates {
        let certificate = certificate.map_err(|error| refuse(error.to_string()))?;
        roots.add(certificate).map_err(|error| refuse(error.to_string()))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| refuse(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Arc::new(config))
}
