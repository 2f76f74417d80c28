//! Types of the persistent store: tables of rows that are grouped into parts, written
//! by conditional transactions, and read as listings or as a feed of changes.

mod change;
mod row;
mod store_error;
mod table_view;
mod transaction;

pub use self::{
    change::Change,
    row::{Key, Listing, Row},
    store_error::StoreError,
    table_view::TableView,
    transaction::{Transaction, TransactionOutcome}, //
};
