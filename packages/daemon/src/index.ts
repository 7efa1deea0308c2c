/** Parts of the daemon that other packages of this project use. */
export {settingRows, getVariableName, type SettingName} from './settings.js';
