//! Completion scripts for shells.

use crate::options::Shell;

/// Commands and their options.
const COMMANDS: [(&str, &str, &str); 10] = [
    ("check", "Checks a sheet before it is published", "--against"),
    ("status", "Shows what hosts are doing", "--json --watch"),
    ("explain", "Tells why a request got its answer", ""),
    ("logs", "Reads logs of edge hosts", "--request"),
    ("drain", "Starts a planned stop of a host", ""),
    ("search", "Searches a collection", "--limit"),
    ("fetch", "Fetches one entry by its key", ""),
    ("file", "Files a submission once", "--ticket"),
    ("reserve", "Makes a reservation once", "--ticket"),
    ("completions", "Prints a completion script", ""),
];

/// Returns the completion script of a shell.
pub fn script(shell: Shell) -> String {
    match shell {
        Shell::Bash => bash(),
        Shell::Fish => fish(),
        Shell::Zsh => zsh(),
    }
}

fn names() -> String {
    COMMANDS.map(|(name, _, _)| name).join(" ")
}

fn bash() -> String {
    let cases: String = COMMANDS
        .iter()
        .filter(|(_, _, options)| !options.is_empty())
        .map(|(name, _, options)| format!("    {name}) words=\"{options}\" ;;\n"))
        .collect();
    format!(
        "_galenaloft() {{\n  local words=\"{}\"\n  if [ \"$COMP_CWORD\" -gt 1 ]; then\n    \
         words=\"\"\n    case \"${{COMP_WORDS[1]}}\" in\n{cases}    esac\n  fi\n  \
         COMPREPLY=($(compgen -W \"$words\" -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n}}\n\
         complete -o default -F _galenaloft galenaloft\n",
        names()
    )
}

fn fish() -> String {
    let mut script = String::new();
    for (name, about, options) in COMMANDS {
        let first = "-n __fish_use_subcommand";
        script += &format!("complete -c galenaloft {first} -a {name} -d '{about}'\n");
        for option in options.split_whitespace() {
            let option = option.trim_start_matches('-');
            let within = format!("-n '__fish_seen_subcommand_from {name}'");
            script += &format!("complete -c galenaloft {within} -l {option}\n");
        }
    }
    script
}

fn zsh() -> String {
    let mut script = "#compdef galenaloft\n_galenaloft() {\n  local -a commands=(\n".to_owned();
    for (name, about, _) in COMMANDS {
        script += &format!("    '{name}:{about}'\n");
    }
    script += "  )\n  if (( CURRENT == 2 )); then\n    _describe command commands\n  else\n    ";
    script += "case $words[2] in\n";
    for (name, _, options) in COMMANDS {
        if !options.is_empty() {
            script += &format!("      {name}) compadd -- {options} ;;\n");
        }
    }
    script + "    esac\n    _files\n  fi\n}\n_galenaloft \"$@\"\n"
}
