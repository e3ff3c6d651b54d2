"""linnetshift: placement decisions for balancers of long-lived connections."""

from linnetshift.interface import Settings, SettingsError
from linnetshift.policy import Balancer

__all__ = ["Balancer", "Settings", "SettingsError"]
