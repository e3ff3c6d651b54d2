"""caperfold: placement decisions for balancers of long-lived connections."""

from caperfold.decide import Balancer
from caperfold.interface import Settings, SettingsError

__all__ = ["Balancer", "Settings", "SettingsError"]
