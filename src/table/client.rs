//! The narrow interface to the platform.

use super::{
    Instance,
    JsonClient,
    StoreError,
    Transaction,
    Written,
    store_error::{AnswerSnafu, StatusSnafu, UnavailableSnafu}, //
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
pub struct Tag(Option<HeaderValue>);

/// Rows as of one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// The highest of the rows' versions, which count the table's commits.
    pub revision: u64,
    pub rows: BTreeMap<String, Row>,
}

/// A client of the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    http: JsonClient,
}

/// How long one request may take.
const TIMEOUT: Millis = Millis(1_000);

/// How often a transaction is asked for until its outcome is known.
const TRIES: u32 = 3;

impl Platform {
    /// A client of the platform at `address`.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            http: JsonClient::open(address, TIMEOUT),
        }
    }

    /// The row at `path`.
    pub async fn get(&self, path: &str) -> Result<Option<Row>, StoreError> {
        self.read(&format!("/table/{path}")).await
    }

    /// The list of instances, unless it still is what `tag` names.
    pub async fn instances(&self, tag: &mut Tag) -> Result<Option<Vec<Instance>>, StoreError> {
        self.changed("/instances", tag).await
    }

    /// All rows whose path begins with `prefix`, unless they still are what
    /// `tag` names.
    pub async fn list(&self, prefix: &str, tag: &mut Tag) -> Result<Option<Listing>, StoreError> {
        self.changed(&format!("/table?prefix={prefix}"), tag).await
    }

    /// The object `key`.
    pub async fn object(&self, key: &str) -> Result<Option<Bytes>, StoreError> {
        let path = format!("/objects/{key}");
        let (status, body) = self.call(Method::GET, &path, Vec::new()).await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => unexpected(&path, status),
        }
    }

    /// Stores an object unless one of that name exists; tells whether it did.
    pub async fn put_object(&self, key: &str, content: Vec<u8>) -> Result<bool, StoreError> {
        let path = format!("/objects/{key}");
        let (status, _) = self.call(Method::PUT, &path, content).await?;
        match status {
            StatusCode::CREATED => Ok(true),
            StatusCode::CONFLICT => Ok(false),
            _ => unexpected(&path, status),
        }
    }

    /// Does `transaction`, asking again with its token while the outcome is unknown.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Written, StoreError> {
        let path = "/table";
        let body = serde_json::to_vec(transaction).context(AnswerSnafu { path })?;
        let mut tries = 0;
        loop {
            tries += 1;
            // An answer can be lost after the write took effect. The same
            // token makes the repeat return the first outcome.
            match self.call(Method::POST, path, body.clone()).await {
                Ok((StatusCode::OK, answer)) => {
                    return serde_json::from_slice(&answer).context(AnswerSnafu { path });
                }
                Ok((status, _)) if tries >= TRIES => return unexpected(path, status),
                Err(error) if tries >= TRIES => return Err(error),
                Ok(_) | Err(_) => {}
            }
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        count(&method);
        let answer = self.http.call(method, path, body).await;
        answer.context(UnavailableSnafu)
    }

    async fn changed<T: DeserializeOwned>(
        &self,
        path: &str,
        tag: &mut Tag,
    ) -> Result<Option<T>, StoreError> {
        count(&Method::GET);
        let answer = self.http.get_changed(path, tag.0.as_ref()).await;
        let (status, body, now) = answer.context(UnavailableSnafu)?;
        match status {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let value = serde_json::from_slice(&body).context(AnswerSnafu { path })?;
                tag.0 = now;
                Ok(Some(value))
            }
            _ => unexpected(path, status),
        }
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, StoreError> {
        let (status, body) = self.call(Method::GET, path, Vec::new()).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body)
                .context(AnswerSnafu { path })
                .map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => unexpected(path, status),
        }
    }
}

fn count(method: &Method) {
    let method = method.to_string();
    metrics::counter!("redwing_platform_requests_total", "method" => method).increment(1);
}

fn unexpected<T>(path: &str, status: StatusCode) -> Result<T, StoreError> {
    StatusSnafu {
        path,
        status: status.as_u16(),
    }
    .fail()
}
