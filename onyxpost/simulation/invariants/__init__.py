"""The rules' one checker, for emulator, virtual clock and rig."""

from onyxpost.simulation.invariants.checker import InvariantChecker as InvariantChecker
from onyxpost.simulation.invariants.records import ANSWERS as ANSWERS
from onyxpost.simulation.invariants.records import CEILINGS as CEILINGS
from onyxpost.simulation.invariants.records import COLD as COLD
from onyxpost.simulation.invariants.records import COLD_SUM as COLD_SUM
from onyxpost.simulation.invariants.records import DRAINS as DRAINS
from onyxpost.simulation.invariants.records import EFFECTS as EFFECTS
from onyxpost.simulation.invariants.records import FINALS as FINALS
from onyxpost.simulation.invariants.records import GONE as GONE
from onyxpost.simulation.invariants.records import GONE_FIRSTS as GONE_FIRSTS
from onyxpost.simulation.invariants.records import RULES as RULES
from onyxpost.simulation.invariants.records import TOLD as TOLD
from onyxpost.simulation.invariants.records import Bucket as Bucket
from onyxpost.simulation.invariants.records import Violation as Violation
