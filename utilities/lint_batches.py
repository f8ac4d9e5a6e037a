#!/usr/bin/env python3
"""Usage: lint_batches.py BUILD_DIRECTORY FILE…

Runs clang-tidy over the files in batches: files of one folder are included into one translation unit, so that the
headers that they share are analysed once. A batch with any finding is repeated file by file, and that result counts.

A file without findings is not analysed again while it, its headers, the settings, the compiler arguments and
clang-tidy are the same, see lint_results.py.
"""

import concurrent.futures
import itertools
import json
import os
import shlex
import subprocess
import sys

from lint_results import LintResults

FILES_PER_BATCH = 10
HEADER_FILTER = r"(src|platform|tests|bench)/.*\.(h|cpp)$"


def read_commands(directory):
    """Returns the compiler arguments by source file."""
    with open(os.path.join(directory, "compile_commands.json"), encoding="utf-8") as commands:
        return {entry["file"]: entry for entry in json.load(commands)}


def compiler_arguments(entry):
    """Returns the arguments of a compile command without the compiler, its launcher, the input and the output."""
    words = shlex.split(entry["command"])
    kept = []
    for word in words[1:]:
        if word.startswith(("-I", "-D", "-std", "-W", "-f", "-m")):
            kept.append(word)
    for position, word in enumerate(words):
        if word == "-isystem":
            kept += [word, words[position + 1]]
    return kept


def run_batch(directory, number, files, commands):
    """Returns the findings of one batch, file by file where the batch has any."""
    path = os.path.join(directory, f"lint_batch_{number}.cpp")
    with open(path, "w", encoding="utf-8") as batch:
        for file in files:
            batch.write(f'#include "{file}" // NOLINT(bugprone-suspicious-include)\n')
    arguments = compiler_arguments(commands[files[0]])
    together = subprocess.run(
        ["clang-tidy", "--quiet", f"--header-filter={HEADER_FILTER}", path, "--", *arguments],
        capture_output=True, text=True, check=False)
    if together.returncode == 0 and not together.stdout.strip():
        return ""
    findings = ""
    for file in files:
        single = subprocess.run(["clang-tidy", "-p", directory, "--quiet", file],
                                capture_output=True, text=True, check=False)
        if single.returncode != 0:
            findings += single.stdout
    return findings


def main():
    directory = sys.argv[1]
    commands = read_commands(directory)
    known = [os.path.abspath(file) for file in sys.argv[2:]]
    missing = [file for file in known if file not in commands]
    if missing:
        print("no compile command for", *missing)
        return 1
    results_of_earlier_runs = LintResults(commands, compiler_arguments)
    unknown = [file for file in known if not results_of_earlier_runs.is_clean(file)]
    batches = []
    for _, group in itertools.groupby(sorted(unknown), key=os.path.dirname):
        files = list(group)
        batches += [files[begin:begin + FILES_PER_BATCH] for begin in range(0, len(files), FILES_PER_BATCH)]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(lambda item: run_batch(directory, item[0], item[1], commands), enumerate(batches)))
    for batch, result in zip(batches, results):
        if not result:
            results_of_earlier_runs.record_clean(batch)
    findings = [result for result in results if result]
    print("".join(findings), end="")
    print(f"clang-tidy: {len(known)} files, {len(unknown)} of them analysed in {len(batches)} batches, "
          f"{len(findings)} batches with findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
