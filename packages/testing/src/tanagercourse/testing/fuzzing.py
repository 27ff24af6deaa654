"""How much is fuzzed: a fixed set of examples in CI, fresh ones with `make fuzz`."""

import os

from hypothesis import settings

# Set by `make fuzz`: fresh random examples, which a failure prints.
FRESH_VARIABLE = "TANAGERCOURSE_FUZZ_FRESH"
CI_EXAMPLES = 300
FRESH_EXAMPLES = 3_000

_IS_FRESH = bool(os.environ.get(FRESH_VARIABLE))
FUZZING = settings(
    max_examples=FRESH_EXAMPLES if _IS_FRESH else CI_EXAMPLES,
    derandomize=not _IS_FRESH,
    database=None,
    deadline=None,
    print_blob=_IS_FRESH,
)
