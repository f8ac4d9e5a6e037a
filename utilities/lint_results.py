"""Results of earlier runs of clang-tidy, for lint_batches.py."""

import hashlib
import os
import pathlib
import shlex
import subprocess

TOP = pathlib.Path(__file__).resolve().parent.parent
COMPILED = TOP / "build"  # Its dependency log names the headers of each source.


def cache_directory():
    """Returns the folder of the results; the same for all clones of the repository on a machine."""
    root = os.environ.get("XDG_CACHE_HOME") or os.path.join(os.path.expanduser("~"), ".cache")
    return pathlib.Path(root) / "bronzechute" / "lint"


def read_dependencies():
    """Returns the files that each object in the build folder was compiled from, or nothing without such a folder."""
    if not (COMPILED / "build.ninja").exists():
        return {}
    listing = subprocess.run(["ninja", "-C", str(COMPILED), "-t", "deps"], capture_output=True, text=True, check=False)
    dependencies = {}
    files = None
    for line in listing.stdout.splitlines():
        if line.startswith("    ") and files is not None:
            files.append(str((COMPILED / line.strip()).resolve()))
        elif line.endswith("(VALID)"):
            files = dependencies.setdefault(line.split(":")[0], [])
        else:
            files = None
    return dependencies


class LintResults:
    """Remembers which files had no findings, each by a digest of all that its result depends on."""

    def __init__(self, commands, compiler_arguments):
        self._commands = commands
        self._compiler_arguments = compiler_arguments
        self._dependencies = read_dependencies()
        self._digests = {}
        self._keys = {}
        self._directory = cache_directory()
        tool = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=False).stdout
        settings = (TOP / ".clang-tidy").read_bytes()
        scripts = b"".join((TOP / "utilities" / name).read_bytes() for name in ("lint_batches.py", "lint_results.py"))
        self._common = hashlib.sha256(tool + settings + scripts).hexdigest()

    def _digest(self, file):
        if file not in self._digests:
            self._digests[file] = hashlib.sha256(pathlib.Path(file).read_bytes()).hexdigest()
        return self._digests[file]

    def _object_of(self, file):
        words = shlex.split(self._commands[file]["command"])
        return words[words.index("-o") + 1]

    def _key(self, file):
        """Returns the digest, or None if it is not known from which files the current source is compiled."""
        name = self._object_of(file)
        dependencies = self._dependencies.get(name, [])
        compiled = COMPILED / name
        if file not in dependencies or not compiled.exists():
            return None
        built_at = compiled.stat().st_mtime
        key = hashlib.sha256(self._common.encode())
        arguments = " ".join(self._compiler_arguments(self._commands[file]))
        key.update(arguments.replace(str(TOP), "").encode())
        for path in dependencies:
            if not os.path.exists(path) or os.path.getmtime(path) > built_at:
                return None
            key.update(f"{path.removeprefix(str(TOP))} {self._digest(path)}\n".encode())
        return key.hexdigest()

    def is_clean(self, file):
        """Returns whether an earlier run found nothing in this file as it is now."""
        self._keys[file] = self._key(file)
        return self._keys[file] is not None and (self._directory / self._keys[file]).exists()

    def record_clean(self, files):
        """Remembers files that were analysed after is_clean() and had no findings."""
        self._directory.mkdir(parents=True, exist_ok=True)
        for file in files:
            if self._keys[file] is not None:
                (self._directory / self._keys[file]).touch()
