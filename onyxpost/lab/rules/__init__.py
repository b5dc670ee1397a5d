"""The rules' one checker, for emulator, virtual clock and rig."""

from onyxpost.lab.rules.checker import Rules as Rules
from onyxpost.lab.rules.parts import ANSWERS as ANSWERS
from onyxpost.lab.rules.parts import CEILINGS as CEILINGS
from onyxpost.lab.rules.parts import COLD as COLD
from onyxpost.lab.rules.parts import COLD_SUM as COLD_SUM
from onyxpost.lab.rules.parts import DRAINS as DRAINS
from onyxpost.lab.rules.parts import EFFECTS as EFFECTS
from onyxpost.lab.rules.parts import FINALS as FINALS
from onyxpost.lab.rules.parts import GONE as GONE
from onyxpost.lab.rules.parts import GONE_FIRSTS as GONE_FIRSTS
from onyxpost.lab.rules.parts import RULES as RULES
from onyxpost.lab.rules.parts import TOLD as TOLD
from onyxpost.lab.rules.parts import Breach as Breach
from onyxpost.lab.rules.parts import Bucket as Bucket
