"""linnetshift: placement decisions for balancers of long-lived connections."""

from linnetshift.routing.balancer import Balancer
from linnetshift.routing.settings import Settings
from linnetshift.routing.settings_reader import SettingsError

__all__ = ["Balancer", "Settings", "SettingsError"]
