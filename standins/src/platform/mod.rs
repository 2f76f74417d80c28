//! A stand-in for the platform: table, object store, instance list and weight store.
//!
//! | request | answer |
//! |---|---|
//! | `GET /table/PATH` | a row: `{value, version}` |
//! | `GET /table?prefix=P` | the rows below a prefix: `{revision, rows}`, with an `ETag` |
//! | `POST /table` | applies `{token, writes}`: `{committed: [versions]}` or `{conflict: {path, version}}` |
//! | `PUT /objects/KEY` | stores an object: 201, or 409 if it exists |
//! | `GET /objects/KEY` | the object |
//! | `GET /instances` | the instance list, late by a configured lag, with an `ETag` |
//! | `PUT /weights/MODEL/VERSION` | publishes weights |
//! | `GET /weights/MODEL/VERSION` | 200 after a simulated copy; few copies run at once |
//! | `POST /admin/faults` | sets the faults |
//! | `POST /admin/instances` | adds or replaces an instance |
//! | `DELETE /admin/instances/NAME` | removes an instance |
//! | `GET /admin/counts` | the numbers of requests by kind |

mod faults;
mod handle;
mod table;
mod weights;

pub use self::{
    faults::Faults,
    handle::{Counts, Platform},
    table::Table, //
};
