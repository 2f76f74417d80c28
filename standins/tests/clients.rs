//! Clients that don't behave, against the programs as processes. A crowd of one kind of client
//! stands before a process with small limits: the process lives, its memory and descriptors stay
//! under the limits, and an ordinary request is answered. Build the programs first.

mod clients {
    mod batches;
    mod bodies;
    mod connections;
    mod crowd;
    mod endless;
    mod entry;
    mod http2;
    mod pages;
    mod program;
    mod stage;
}
