//! Client of the administration API.

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

/// Time within which a host must respond. The response to a change may take 30 s, as the host waits
/// for the change to be in force.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Environment variable that holds the operator's key if no key file is given.
const KEY_VARIABLE: &str = "DOTTERELLANE_OPERATOR_KEY";
const HTTP_PORT: u16 = 80;
const HTTPS_PORT: u16 = 443;

/// Why a call of the administration API failed.
#[derive(Debug)]
#[derive(Diagnostic, Error)]
pub enum ClientError {
    /// Neither a key file nor the environment variable was given.
    #[error("no operator's key was given")]
    #[diagnostic(help("pass --key-file FILE or set {KEY_VARIABLE}"))]
    NoKey,
    /// An argument or a file cannot be used.
    #[error("{step}: {cause}")]
    Input {
        /// What the client was doing, or the invalid argument.
        step: String,
        /// Why it failed.
        cause: String,
    },
    /// The host could not be reached, or its response could not be read.
    #[error("{step} {server}: {cause}")]
    #[diagnostic(help(
        "any host of the fleet can be used; if the request was a change, `config history` shows \
        whether it was made"
    ))]
    Unreachable {
        /// What the client was doing; `server` completes the phrase.
        step: &'static str,
        /// URL of the host.
        server: String,
        /// Why it failed.
        cause: String,
    },
    /// The host refused the request.
    #[error("{} ({status})", problem.message)]
    Refused {
        /// Status of the response.
        status: StatusCode,
        /// Reason and details from the host.
        problem: Box<ApiProblem>,
    },
}

/// Client of one host's administration API. Opens a connection for each request.
#[derive(Debug)]
pub struct ApiClient {
    server: Uri,
    key: OperatorKey,
    tls: Option<Arc<ClientConfig>>,
}

/// A response whose body has been read but not parsed.
#[derive(Debug)]
pub struct ApiResponse {
    /// Version of the document in the body, from the `ETag` header; `None` for other bodies.
    pub version: Option<u64>,
    /// Body; bytes that are not UTF-8 are replaced.
    pub text: String,
}

impl ApiClient {
    /// Reads the key and the CA certificates; does not connect yet.
    ///
    /// # Errors
    /// Fails if there is no key, or the address or a file cannot be used.
    pub fn new(connection: &ConnectionArguments) -> Result<Self, ClientError> {
        let input = |cause: String| ClientError::Input { step: connection.server.clone(), cause };
        let server: Uri = connection.server.parse().map_err(|error| input(format!("{error}")))?;
        let tls = match server.scheme_str() {
            Some("http") => None,
            Some("https") => Some(tls_config(connection.ca_file.as_deref())?),
            _ => return Err(input("expected http://HOST:PORT or https://HOST:PORT".to_owned())),
        };
        let key = read_key(connection.key_file.as_deref())?;
        Ok(Self { server, key, tls })
    }

    /// Fetches a JSON value.
    ///
    /// # Errors
    /// Fails if the host does not respond or refuses the request.
    pub async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.parse(self.send(Method::GET, path, None, String::new()).await?)
    }

    /// Fetches a text and its version.
    ///
    /// # Errors
    /// Fails if the host does not respond or refuses the request.
    pub async fn get_text(&self, path: &str) -> Result<ApiResponse, ClientError> {
        self.send(Method::GET, path, None, String::new()).await
    }

    /// Sends a request with a JSON body and parses the JSON response.
    ///
    /// # Errors
    /// Fails if the host does not respond or refuses the request.
    pub async fn send_json<B, T>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_string(body).expect("the body has string keys only");
        self.parse(self.send(method, path, None, body).await?)
    }

    /// Sends a text that was edited from version `from` of the document. The host refuses it if the
    /// document has another version by then.
    ///
    /// # Errors
    /// Fails if the host does not respond or refuses the request.
    pub async fn send_if_match<T>(
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

    fn parse<T>(&self, response: ApiResponse) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        serde_json::from_str(&response.text).map_err(|error| {
            self.unreachable("parsing the response of", format!("unexpected content: {error}"))
        })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        from: Option<u64>,
        body: String,
    ) -> Result<ApiResponse, ClientError> {
        let request = self.request(method, path, from, body)?;
        let exchange = timeout(RESPONSE_TIMEOUT, self.exchange(request)).await;
        let (status, response) = exchange.map_err(|_| {
            self.unreachable("waiting for", format!("no response within {RESPONSE_TIMEOUT:?}"))
        })??;
        if status.is_success() {
            return Ok(response);
        }
        match serde_json::from_str(&response.text) {
            Ok(problem) => Err(ClientError::Refused { status, problem }),
            Err(_) => Err(self.unreachable("calling", format!("unexpected status {status}"))),
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
            .expect("a key has only characters valid in a header");
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
            step: format!("building a request for {path}"),
            cause: error.to_string(),
        })
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, ApiResponse), ClientError> {
        let host = self.server.host().unwrap_or_default();
        let default_port = if self.tls.is_some() { HTTPS_PORT } else { HTTP_PORT };
        let port = self.server.port_u16().unwrap_or(default_port);
        let fail = |error: std::io::Error| self.unreachable("connecting to", error.to_string());
        let address = (host.trim_matches(['[', ']']), port);
        let stream = TcpStream::connect(address).await.map_err(fail)?;
        let response = match &self.tls {
            None => self.send_over(stream, request).await?,
            Some(config) => {
                let name = ServerName::try_from(address.0.to_owned())
                    .map_err(|error| self.unreachable("verifying", error.to_string()))?;
                let connector = TlsConnector::from(config.clone());
                let stream = connector.connect(name, stream).await.map_err(fail)?;
                self.send_over(stream, request).await?
            }
        };
        let (parts, body) = response.into_parts();
        let failed =
            |error: hyper::Error| self.unreachable("reading the response of", error.to_string());
        let bytes = body.collect().await.map_err(failed)?.to_bytes();
        let tag = parts.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok((parts.status, ApiResponse { version, text }))
    }

    async fn send_over<S>(
        &self,
        stream: S,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let failed =
            |error: hyper::Error| self.unreachable("sending a request to", error.to_string());
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
    let step = "loading CA certificates for the https server".to_owned();
    let invalid = |cause: String| ClientError::Input { step: step.clone(), cause };
    let path = ca_file.ok_or_else(|| invalid("pass --ca-file FILE".to_owned()))?;
    let certificates =
        CertificateDer::pem_file_iter(path).map_err(|error| invalid(error.to_string()))?;
    let mut roots = RootCertStore::empty();
    for certificate in certificates {
        let certificate = certificate.map_err(|error| invalid(error.to_string()))?;
        roots.add(certificate).map_err(|error| invalid(error.to_string()))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| invalid(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Arc::new(config))
}
