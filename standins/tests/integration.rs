//! Tests over real loopback sockets: scripted scenarios and bad input.

mod integration {
    mod bad_input;
    mod crashes;
    mod relay;
    mod scenarios;
    mod site;
    mod stage;
    mod usage;
    mod workspaces;
}
