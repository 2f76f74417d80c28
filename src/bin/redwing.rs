fn main() -> std::process::ExitCode {
    redwingpond::operator::operator_main()
}
