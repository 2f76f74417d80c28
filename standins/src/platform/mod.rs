//! The platform's stand-in: table, object store, instance list, weight store.
//!
//! | request | answer |
//! |---|---|
//! | `GET /table/PATH` | a row: `{value, version}` |
//! | `GET /table?prefix=P` | `{revision, rows}`, with an `ETag` |
//! | `POST /table` | `{token, writes}`; `{committed: [versions]}` or `{conflict: {path, version}}` |
//! | `PUT /objects/KEY` | 201, or 409 if there is one |
//! | `GET /objects/KEY` | the object |
//! | `GET /instances` | the list, as it was a lag ago, with an `ETag` |
//! | `PUT /weights/MODEL/VERSION` | publishes weights |
//! | `GET /weights/MODEL/VERSION` | 200 once they were copied, under the rate limit |
//! | `POST /admin/faults` | sets the faults |
//! | `POST /admin/instances` | adds or replaces an instance |
//! | `DELETE /admin/instances/NAME` | removes one |
//! | `GET /admin/counts` | requests by kind |

mod faults;
mod handle;
mod table;
mod weights;

pub use self::{
    faults::Faults,
    handle::{Counts, Platform},
    table::Table, //
};
