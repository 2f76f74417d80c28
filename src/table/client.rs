//! Client of the platform's table, object store and instance list.

use super::{
    Instance,
    JsonClient,
    PlatformError,
    Transaction,
    TransactionOutcome,
    platform_error::{InvalidMessageSnafu, StatusSnafu, UnreachableSnafu}, //
};
use crate::base::Millis;
use bytes::Bytes;
use hyper::{
    Method,
    StatusCode,
    header::HeaderValue, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use snafu::ResultExt;
use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

/// The value of a table row, and the version of the row's last write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    pub value: String,
    pub version: u64,
}

/// The entity tag of the last answer to a read. The next read sends it, and the platform
/// returns the content only if it has changed since.
#[derive(Clone, Debug, Default)]
pub struct EntityTag(Option<HeaderValue>);

/// The rows below one path prefix, by path, as of one revision of the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The highest version among the rows. Versions number the table's commits.
    pub revision: u64,
    pub rows: BTreeMap<String, Row>,
}

/// An HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: JsonClient,
}

/// The time limit of one request.
const REQUEST_TIMEOUT: Millis = Millis(1_000);

/// The most times that one transaction is sent.
const MAX_ATTEMPTS: u32 = 3;

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            http: JsonClient::open(address, REQUEST_TIMEOUT),
        }
    }

    /// Reads the row at `path`; `None` if there is none.
    pub async fn get(&self, path: &str) -> Result<Option<Row>, PlatformError> {
        self.get_json(&format!("/table/{path}")).await
    }

    /// Reads the list of instances; `None` if it has not changed since `tag` was set.
    /// Updates `tag`.
    pub async fn instances(
        &self,
        tag: &mut EntityTag,
    ) -> Result<Option<Vec<Instance>>, PlatformError> {
        self.get_if_changed("/instances", tag).await
    }

    /// Reads all rows whose path begins with `prefix`; `None` if they have not changed
    /// since `tag` was set. Updates `tag`.
    pub async fn list(
        &self,
        prefix: &str,
        tag: &mut EntityTag,
    ) -> Result<Option<Listing>, PlatformError> {
        self.get_if_changed(&format!("/table?prefix={prefix}"), tag)
            .await
    }

    /// Reads the object `key`; `None` if there is none.
    pub async fn object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/objects/{key}");
        let (status, body) = self.call(Method::GET, &path, Vec::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => unexpected_status(&path, status),
        }
    }

    /// Stores an object; returns false if an object of that key exists already.
    pub async fn put_object(&self, key: &str, content: Vec<u8>) -> Result<bool, PlatformError> {
        let path = format!("/objects/{key}");
        let (status, _) = self.call(Method::PUT, &path, content).await?;
        match status {
            StatusCode::CREATED => Ok(true),
            StatusCode::CONFLICT => Ok(false),
            _ => unexpected_status(&path, status),
        }
    }

    /// Commits `transaction`. After no answer or a status other than 200, sends it again with
    /// the same token, up to `MAX_ATTEMPTS` times in all.
    pub async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        let path = "/table";
        let body = serde_json::to_vec(transaction).context(InvalidMessageSnafu { path })?;
        let mut attempts = 0;
        loop {
            attempts += 1;
            // The answer can be lost after the transaction took effect. A repeat with
            // the same token returns the first outcome.
            match self.call(Method::POST, path, body.clone()).await {
                Ok((StatusCode::OK, answer)) => {
                    return serde_json::from_slice(&answer).context(InvalidMessageSnafu { path });
                }
                Ok((status, _)) if attempts >= MAX_ATTEMPTS => {
                    return unexpected_status(path, status);
                }
                Err(error) if attempts >= MAX_ATTEMPTS => return Err(error),
                Ok(_) | Err(_) => {}
            }
        }
    }

    /// Sends one request and returns the status and the body of the answer.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        count_request(&method);
        let answer = self.http.call(method, path, body).await;
        answer.context(UnreachableSnafu)
    }

    /// Reads and decodes `path`; `None` if it has not changed since `tag` was set.
    async fn get_if_changed<T: DeserializeOwned>(
        &self,
        path: &str,
        tag: &mut EntityTag,
    ) -> Result<Option<T>, PlatformError> {
        count_request(&Method::GET);
        let answer = self.http.get_if_changed(path, tag.0.as_ref()).await;
        let (status, body, new_tag) = answer.context(UnreachableSnafu)?;
        match status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let value = serde_json::from_slice(&body).context(InvalidMessageSnafu { path })?;
                tag.0 = new_tag;
                Ok(Some(value))
            }
            _ => unexpected_status(path, status),
        }
    }

    /// Reads and decodes `path`; `None` if the platform answers 404.
    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, PlatformError> {
        let (status, body) = self.call(Method::GET, path, Vec::new()).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body)
                .context(InvalidMessageSnafu { path })
                .map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => unexpected_status(path, status),
        }
    }
}

/// Counts a request to the platform in the metrics.
fn count_request(method: &Method) {
    let method = method.to_string();
    metrics::counter!("redwing_platform_requests_total", "method" => method).increment(1);
}

fn unexpected_status<T>(path: &str, status: StatusCode) -> Result<T, PlatformError> {
    StatusSnafu {
        path,
        status: status.as_u16(),
    }
    .fail()
}
