//! The narrow interface to the platform.

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

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    pub value: String,
    pub version: u64,
}

/// Names what was read last, so that it is sent again only when it changed.
#[derive(Clone, Debug, Default)]
pub struct EntityTag(Option<HeaderValue>);

/// Rows as of one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The highest of the rows' versions, which count the table's commits.
    pub revision: u64,
    pub rows: BTreeMap<String, Row>,
}

/// A client of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: JsonClient,
}

/// How long one request may take.
const REQUEST_TIMEOUT: Millis = Millis(1_000);

/// How often a transaction is asked for until its outcome is known.
const MAX_ATTEMPTS: u32 = 3;

impl PlatformClient {
    /// A client of the platform at `address`.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            http: JsonClient::open(address, REQUEST_TIMEOUT),
        }
    }

    /// The row at `path`.
    pub async fn get(&self, path: &str) -> Result<Option<Row>, PlatformError> {
        self.get_json(&format!("/table/{path}")).await
    }

    /// The list of instances, unless it still is what `tag` names.
    pub async fn instances(
        &self,
        tag: &mut EntityTag,
    ) -> Result<Option<Vec<Instance>>, PlatformError> {
        self.get_if_changed("/instances", tag).await
    }

    /// All rows whose path begins with `prefix`, unless they still are what
    /// `tag` names.
    pub async fn list(
        &self,
        prefix: &str,
        tag: &mut EntityTag,
    ) -> Result<Option<Listing>, PlatformError> {
        self.get_if_changed(&format!("/table?prefix={prefix}"), tag)
            .await
    }

    /// The object `key`.
    pub async fn object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let path = format!("/objects/{key}");
        let (status, body) = self.call(Method::GET, &path, Vec::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => unexpected_status(&path, status),
        }
    }

    /// Stores an object unless one of that name exists; tells whether it did.
    pub async fn put_object(&self, key: &str, content: Vec<u8>) -> Result<bool, PlatformError> {
        let path = format!("/objects/{key}");
        let (status, _) = self.call(Method::PUT, &path, content).await?;
        match status {
            StatusCode::CREATED => Ok(true),
            StatusCode::CONFLICT => Ok(false),
            _ => unexpected_status(&path, status),
        }
    }

    /// Does `transaction`, asking again with its token while the outcome is unknown.
    pub async fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        let path = "/table";
        let body = serde_json::to_vec(transaction).context(InvalidMessageSnafu { path })?;
        let mut attempts = 0;
        loop {
            attempts += 1;
            // An answer can be lost after the write took effect. The same
            // token makes the repeat return the first outcome.
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
