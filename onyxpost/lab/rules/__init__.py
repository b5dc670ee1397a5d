"""The rules' one checker, for emulator, virtual clock and rig."""

from onyxpost.lab.rules.checker import Rules as Rules
from onyxpost.lab.rules.parts import ANSWERS as ANSWERS
from onyxpost.lab.rules.parts import CEILINGS as CEILINGS
from onyxpost.lab.rules.parts import COLD as COLD
from onyxpost.lab.rules.parts import DRAINS as DRAINS
from onyxpost.lab.rules.parts import EFFECTS as EFFECTS
from onyxpost.lab.rules.parts import FINALS as FINALS
from onyxpost.lab.rules.parts import RULES as RULES
from onyxpost.lab.rules.parts import Breach as Breach
from onyxpost.lab.rules.parts import Bucket as Bucket
